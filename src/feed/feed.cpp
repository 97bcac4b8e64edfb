#include "mimosahollow/feed/feed.h"

#include "mimosahollow/controltraffic/intervals.h"

#include <algorithm>

namespace mimosahollow::feed {

namespace {

/** Expected ends of a load that differ by less are the same; they are recomputed in whole milliseconds. */
constexpr unsigned readyTolerance = 5; // milliseconds

/** Load time that remains of @p milliseconds after @p elapsed. */
unsigned remaining(unsigned milliseconds, Duration elapsed)
{
    const auto passed = static_cast<std::uint64_t>(std::max<std::int64_t>(0, std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count()));
    return passed >= milliseconds ? 0 : milliseconds - static_cast<unsigned>(passed);
}

bool isSame(const fleetlink::PlacedAdapter &stored, const fleetlink::PlacedAdapter &adapter, Duration elapsed)
{
    const unsigned expected = remaining(stored.readyMilliseconds, elapsed);
    const unsigned difference = expected > adapter.readyMilliseconds ? expected - adapter.readyMilliseconds : adapter.readyMilliseconds - expected;
    return stored.model == adapter.model && stored.adapter == adapter.adapter && stored.version == adapter.version && difference <= readyTolerance;
}

} // namespace

std::vector<std::uint64_t> leaderReceivers(std::span<const Subscriber> subscribers, std::string_view ownDomain)
{
    // The first coordinator by name, so that the choice does not change while connections come and go.
    std::map<std::string_view, const Subscriber *> relays;
    for (const Subscriber &subscriber : subscribers) {
        if (subscriber.isEntry || subscriber.domain == ownDomain) {
            continue;
        }
        const Subscriber *&relay = relays[subscriber.domain];
        relay = relay == nullptr || subscriber.name < relay->name ? &subscriber : relay;
    }
    std::vector<std::uint64_t> receivers;
    receivers.reserve(subscribers.size());
    for (const auto &[domain, relay] : relays) {
        receivers.push_back(relay->peer);
    }
    for (const Subscriber &subscriber : subscribers) {
        if (subscriber.isEntry && (subscriber.wantsDirect || subscriber.domain == ownDomain || !relays.contains(subscriber.domain))) {
            receivers.push_back(subscriber.peer);
        }
    }
    std::sort(receivers.begin(), receivers.end());
    return receivers;
}

std::vector<std::uint64_t> relayReceivers(std::span<const Subscriber> subscribers, std::string_view ownDomain)
{
    std::vector<std::uint64_t> receivers;
    for (const Subscriber &subscriber : subscribers) {
        if (subscriber.isEntry && subscriber.domain == ownDomain) {
            receivers.push_back(subscriber.peer);
        }
    }
    std::sort(receivers.begin(), receivers.end());
    return receivers;
}

bool store(FeedTable &table, const fleetlink::PlacementUpdate &update, TimePoint now)
{
    if (update.term < table.term) {
        return false;
    }
    if (update.term > table.term) {
        table = {update.term, 0, {}};
    }
    table.number = std::max(table.number, update.number);
    for (const fleetlink::ServerPlacement &placement : update.servers) {
        table.rows[placement.server] = {placement, now};
    }
    return true;
}

bool isNews(const FeedTable &table, const fleetlink::ServerPlacement &placement, TimePoint now)
{
    const auto row = table.rows.find(placement.server);
    if (row == table.rows.end() || row->second.placement.born != placement.born) {
        return true;
    }
    const Duration elapsed = now - row->second.storedAt;
    if (elapsed > controltraffic::placementRefreshInterval(table.rows.size())) {
        return true; // receivers drop copies that calls did not find
    }
    const auto &stored = row->second.placement.adapters;
    return !std::equal(stored.begin(), stored.end(), placement.adapters.begin(), placement.adapters.end(), [elapsed](const auto &left, const auto &right) {
        return isSame(left, right, elapsed);
    });
}

fleetlink::PlacementUpdate contentOf(const FeedTable &table, TimePoint now)
{
    fleetlink::PlacementUpdate update{table.term, {}, table.number};
    for (const auto &[server, row] : table.rows) {
        fleetlink::ServerPlacement placement = row.placement;
        for (fleetlink::PlacedAdapter &adapter : placement.adapters) {
            adapter.readyMilliseconds = remaining(adapter.readyMilliseconds, now - row.storedAt);
        }
        update.servers.push_back(std::move(placement));
    }
    return update;
}

} // namespace mimosahollow::feed
