#pragma once

#include "mimosahollow/placement/modelorder.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace mimosahollow::placement {

/**
 * Engine as the protocol describes it: reports lag, adapters in transit and versions that are being replaced take slots, unloads wait for
 * running calls, and an order may be executed late without a reply.
 */
class EngineModel
{
public:
    struct Copy
    {
        TimePoint readyAt{};
        TimePoint runsUntil{};
        bool isUnloading = false;
    };

    EngineModel(unsigned slots, std::minstd_rand &random) : m_slots(slots), m_random(random)
    {
    }

    /** Executes @p order unless its sequence differs. */
    OrderOutcome execute(const ModelOrder &order, TimePoint now)
    {
        advance(now);
        if (order.expectedSequence != m_sequence) {
            return OrderOutcome::Conflict;
        }
        const Key key{order.adapter, order.version};
        OrderOutcome outcome = OrderOutcome::Accepted;
        if (order.kind == OrderKind::Load) {
            if (m_copies.contains(key)) {
                return OrderOutcome::AlreadyDone;
            }
            m_copies[key] = {now + milliseconds(100 + m_random() % 300), {}, false};
            m_overfilled = m_overfilled || m_copies.size() > m_slots;
        } else if (holds(order.adapter)) {
            outcome = unload(order.adapter, now);
        } else {
            return OrderOutcome::AlreadyDone; // does not count as an order
        }
        ++m_sequence;
        return outcome;
    }

    /** Executes @p order at @p at, if its sequence still matches then. */
    void executeLater(const ModelOrder &order, TimePoint at)
    {
        m_late.push_back({order, at});
    }

    /** A call that runs for @p duration on @p adapter, if a copy is loaded. */
    void run(const std::string &adapter, TimePoint now, Duration duration)
    {
        for (auto &[key, copy] : m_copies) {
            if (key.first == adapter && copy.readyAt <= now && !copy.isUnloading) {
                copy.runsUntil = std::max(copy.runsUntil, now + duration);
            }
        }
    }

    /** Ends unloads and executes late orders that are due; keeps a snapshot for reports. */
    void advance(TimePoint now)
    {
        while (!m_late.empty()) {
            const auto due = std::find_if(m_late.begin(), m_late.end(), [now](const Late &late) {
                return late.at <= now;
            });
            if (due == m_late.end()) {
                break;
            }
            const ModelOrder order = due->order;
            m_late.erase(due);
            execute(order, now);
        }
        std::erase_if(m_copies, [now](const auto &item) {
            return item.second.isUnloading && item.second.runsUntil <= now;
        });
        m_snapshots.push_back({now, snapshot(now)});
        while (m_snapshots.size() > 1 && now - m_snapshots.front().first > seconds(1)) {
            m_snapshots.pop_front();
        }
    }

    /** State of @p lag ago. */
    [[nodiscard]] ModelReport report(TimePoint now, Duration lag) const
    {
        ModelReport oldest = m_snapshots.front().second;
        for (const auto &[time, state] : m_snapshots) {
            if (time <= now - lag) {
                oldest = state;
            }
        }
        return oldest;
    }

    [[nodiscard]] bool wasOverfilled() const noexcept
    {
        return m_overfilled;
    }

private:
    using Key = std::pair<std::string, std::uint64_t>; // adapter and version
    struct Late
    {
        ModelOrder order;
        TimePoint at{};
    };

    [[nodiscard]] bool holds(const std::string &adapter) const
    {
        return std::any_of(m_copies.begin(), m_copies.end(), [&adapter](const auto &item) {
            return item.first.first == adapter;
        });
    }

    OrderOutcome unload(const std::string &adapter, TimePoint now)
    {
        bool waits = false;
        for (auto copy = m_copies.begin(); copy != m_copies.end();) {
            if (copy->first.first != adapter) {
                ++copy;
            } else if (copy->second.runsUntil > now) {
                copy->second.isUnloading = true;
                waits = true;
                ++copy;
            } else {
                copy = m_copies.erase(copy);
            }
        }
        return waits ? OrderOutcome::Accepted : OrderOutcome::AlreadyDone;
    }

    [[nodiscard]] ModelReport snapshot(TimePoint now) const
    {
        ModelReport report;
        report.sequence = m_sequence;
        report.copies.push_back({"base", {}, 1, false});
        for (const auto &[key, copy] : m_copies) {
            report.copies.push_back({"base", key.first, key.second, copy.readyAt > now});
        }
        return report;
    }

    unsigned m_slots;
    std::minstd_rand &m_random;
    std::uint64_t m_sequence = 0;
    std::map<Key, Copy> m_copies;
    std::deque<Late> m_late;
    std::deque<std::pair<TimePoint, ModelReport>> m_snapshots;
    bool m_overfilled = false;
};

} // namespace mimosahollow::placement
