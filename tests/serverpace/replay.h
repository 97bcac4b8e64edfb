#pragma once

#include "mimosahollow/dispatch/dispatch.h"
#include "mimosahollow/serverpace/pacetable.h"
#include "mimosahollow/serverpace/samplesums.h"

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <string>

namespace mimosahollow::tests {

using namespace mimosahollow::dispatch;

inline constexpr unsigned instances = 20;
inline constexpr unsigned engines = 14;
inline constexpr unsigned slots = 12;
inline constexpr unsigned eventsOfCall = 25;
inline constexpr double usualInterval = 43; // milliseconds
inline constexpr Duration step = milliseconds(5);
inline constexpr Duration reportInterval = milliseconds(150);
inline constexpr Duration digestInterval = milliseconds(100);

struct RunningCall
{
    unsigned engine = 0;
    unsigned instance = 0;
    unsigned events = 0;
    TimePoint lastEvent{};
    TimePoint arrived{};
};

/** Entry instances that report to a leader and choose by its digest, and engines whose speed the test sets. */
struct Replay
{
    /** How the figures of the leader are changed on their way. */
    using Forgery = std::function<void(fleetlink::LoadDigest &)>;

    explicit Replay(bool withPaces) : usesPaces(withPaces), states(instances), sums(instances), factors(engines, 1.0), sent(engines)
    {
        catalog::Catalog catalog;
        catalog::EngineSpec spec;
        spec.models = {{"base", 1000, 10, seconds(2)}};
        catalog.services = {{"chat", 500, 0, spec}};
        const auto index = std::make_shared<const catalog::CatalogIndex>(std::make_shared<const catalog::Catalog>(std::move(catalog)));
        for (unsigned instance = 0; instance < instances; ++instance) {
            states[instance].catalog = index;
            states[instance].options.domain = "north";
            states[instance].random.seed(instance + 1);
            for (unsigned engine = 0; engine < engines; ++engine) {
                registry::ServerRecord record;
                record.id = idOf(engine);
                record.service = "chat";
                record.address = "10.0.0." + std::to_string(engine) + ":80";
                record.domain = "north";
                record.slots = slots;
                record.born = 1;
                record.sequence = 1;
                record.held = {{"base", {}, 1}};
                updateServer(states[instance], record, now);
            }
        }
    }

    static std::string idOf(unsigned engine)
    {
        return "s" + std::string(engine < 10 ? "0" : "") + std::to_string(engine);
    }

    void arrive(unsigned instance)
    {
        Call call;
        call.id = "q";
        call.service = "chat";
        call.model = "base";
        call.arrived = now;
        call.objectiveEnd = now + milliseconds(600);
        call.deadline = now + seconds(12);
        const Decision decision = decide(states[instance], call, now);
        if (const auto *send = std::get_if<Send>(&decision)) {
            callStarted(states[instance], send->server, now);
            const auto engine = static_cast<unsigned>(std::stoul(send->server.substr(1)));
            calls.push_back({engine, instance, 0, now, now});
            ++sent[engine];
        } else {
            ++refused;
        }
    }

    void runCalls()
    {
        std::vector<unsigned> running(engines);
        for (const RunningCall &call : calls) {
            ++running[call.engine];
        }
        for (unsigned engine = 0; engine < engines; ++engine) {
            fill[engine] += running[engine];
        }
        ++steps;
        std::erase_if(calls, [&](RunningCall &call) {
            const double interval = usualInterval * factors[call.engine] * (0.8 + 0.4 * running[call.engine] / slots);
            if (toSeconds(now - call.lastEvent) * 1000 < interval) {
                return false;
            }
            if (call.events > 0) {
                serverpace::addSample(sums[call.instance], registry::serverKey(idOf(call.engine)), now - call.lastEvent, 1);
            }
            call.lastEvent = now;
            if (++call.events < eventsOfCall) {
                return false;
            }
            totalTime += toSeconds(now - call.arrived);
            ++ended;
            callEnded(states[call.instance], idOf(call.engine), CallResult::Answered, now);
            return true;
        });
    }

    void report(unsigned instance)
    {
        serverpace::recordSamples(table, serverpace::takeSamples(sums[instance]), now);
        for (auto &[id, server] : states[instance].servers) {
            server.reportedRunning = server.running;
            reported[instance][server.key] = server.running;
        }
    }

    void publish()
    {
        std::vector<serverpace::PacedServer> servers;
        fleetlink::LoadDigest digest{1, {}, true, {}, {}};
        std::map<std::uint32_t, unsigned> total;
        for (const auto &[instance, counts] : reported) {
            for (const auto &[key, count] : counts) {
                total[key] += count;
            }
        }
        for (const auto &[key, count] : total) {
            digest.servers.push_back({key, count});
        }
        for (const auto &[id, server] : states[0].servers) {
            servers.push_back({server.key, id, "chat"});
        }
        changes += serverpace::updatePaces(table, servers, now).size();
        if (usesPaces) {
            digest.paces = serverpace::publishedPaces(table);
        }
        if (forgery) {
            forgery(digest);
        }
        for (DispatchState &state : states) {
            applyLoad(state, digest, now);
        }
    }

    void run(Duration time, double callsPerSecond)
    {
        std::poisson_distribution<unsigned> arrivals(callsPerSecond * toSeconds(step));
        for (const TimePoint end = now + time; now < end; now += step) {
            if (everyStep) {
                everyStep();
            }
            runCalls();
            for (unsigned call = arrivals(random); call > 0; --call) {
                arrive(std::uniform_int_distribution<unsigned>(0, instances - 1)(random));
            }
            const auto ticks = (now - TimePoint{}) / step;
            for (unsigned instance = 0; instance < instances; ++instance) {
                if ((ticks + instance) % (reportInterval / step) == 0) {
                    report(instance);
                }
            }
            if (ticks % (digestInterval / step) == 0) {
                publish();
            }
        }
    }

    void startCounting()
    {
        std::fill(sent.begin(), sent.end(), 0);
        fill.assign(engines, 0);
        steps = 0;
        totalTime = 0;
        ended = 0;
        changes = 0;
        refused = 0;
    }

    /** Mean number of calls on @p engine. */
    [[nodiscard]] double meanFill(unsigned engine) const
    {
        return fill[engine] / steps;
    }

    [[nodiscard]] double meanTime() const
    {
        return totalTime / ended;
    }

    /** Calls sent to @p engine, as a part of the mean. */
    [[nodiscard]] double share(unsigned engine) const
    {
        double total = 0;
        for (const unsigned count : sent) {
            total += count;
        }
        return sent[engine] * engines / total;
    }

    bool usesPaces = true;
    Forgery forgery;
    std::function<void()> everyStep;
    std::vector<DispatchState> states;
    std::vector<serverpace::SampleSums> sums;
    std::vector<double> factors;
    std::vector<unsigned> sent;
    std::vector<double> fill = std::vector<double>(engines);
    unsigned steps = 0;
    std::map<unsigned, std::map<std::uint32_t, unsigned>> reported;
    std::vector<RunningCall> calls;
    serverpace::PaceTable table;
    std::minstd_rand random{7};
    TimePoint now{seconds(100)};
    double totalTime = 0;
    unsigned ended = 0;
    unsigned refused = 0;
    std::size_t changes = 0;
};

} // namespace mimosahollow::tests
