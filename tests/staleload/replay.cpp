#include "mimosahollow/dispatch/dispatch.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <random>
#include <string>
#include <vector>

using namespace mimosahollow;
using namespace mimosahollow::dispatch;

namespace {

constexpr unsigned instances = 65;
constexpr unsigned servers = 4;
constexpr unsigned slots = 6;
constexpr unsigned queue = 6; // calls that a server takes beyond its slots
constexpr Duration step = milliseconds(5);
constexpr Duration callTime = milliseconds(60);
constexpr double callsPerSecond = 200; // half of what the servers can do

struct RunningCall
{
    unsigned server = 0;
    unsigned instance = 0;
    TimePoint arrived{};
    Duration work{};
};

/** Many entry instances that choose among few plain servers by counts that are up to 0.25 s old. */
struct Replay
{
    explicit Replay(bool knowsCallTime) : knowsCallTime(knowsCallTime), states(instances), reported(instances)
    {
        catalog::Catalog catalog;
        catalog.services = {{"desk", 0, 0, std::nullopt}};
        const auto index = std::make_shared<const catalog::CatalogIndex>(std::make_shared<const catalog::Catalog>(std::move(catalog)));
        for (unsigned instance = 0; instance < instances; ++instance) {
            states[instance].catalog = index;
            states[instance].options.domain = "north";
            states[instance].entryInstances = instances;
            states[instance].random.seed(instance + 1);
            for (unsigned server = 0; server < servers; ++server) {
                updateServer(states[instance],
                             {idOf(server), "desk", "10.0.0.1:" + std::to_string(80 + server), "north", slots, registry::ServerState::Ready, 1, 1, 0, {}},
                             now);
            }
        }
    }

    static std::string idOf(unsigned server)
    {
        return "d" + std::to_string(server);
    }

    [[nodiscard]] unsigned running(unsigned server) const
    {
        return static_cast<unsigned>(std::count_if(calls.begin(), calls.end(), [server](const RunningCall &call) {
            return call.server == server;
        }));
    }

    void arrive(unsigned instance)
    {
        Call call;
        call.service = "desk";
        call.arrived = now;
        call.objectiveEnd = now + milliseconds(300);
        call.deadline = now + seconds(3);
        const Decision decision = decide(states[instance], call, now);
        const auto *send = std::get_if<Send>(&decision);
        if (send == nullptr) {
            ++waited;
            return;
        }
        ++sent;
        callStarted(states[instance], send->server, now);
        const auto server = static_cast<unsigned>(send->server[1] - '0');
        if (running(server) >= slots + queue) {
            ++rejected;
            callEnded(states[instance], send->server, CallResult::NotRun, now);
            return;
        }
        calls.push_back({server, instance, now, fromSeconds(std::exponential_distribution<double>(1 / toSeconds(callTime))(random))});
    }

    void work()
    {
        std::array<unsigned, servers> atWork{};
        std::erase_if(calls, [this, &atWork](RunningCall &call) {
            if (++atWork[call.server] > slots) {
                return false;
            }
            call.work -= step;
            if (call.work > Duration::zero()) {
                return false;
            }
            callEnded(states[call.instance], idOf(call.server), CallResult::Answered, now);
            if (knowsCallTime) {
                recordCallTime(states[call.instance], idOf(call.server), now - call.arrived);
            }
            return true;
        });
    }

    void publish()
    {
        fleetlink::LoadDigest digest{1, {}, true, {}, {}};
        for (unsigned server = 0; server < servers; ++server) {
            unsigned total = 0;
            for (const auto &counts : reported) {
                total += counts[server];
            }
            digest.servers.push_back({registry::serverKey(idOf(server)), total});
        }
        for (DispatchState &state : states) {
            applyLoad(state, digest, now);
        }
    }

    void run(Duration time)
    {
        std::poisson_distribution<unsigned> arrivals(callsPerSecond * toSeconds(step));
        for (const TimePoint end = now + time; now < end; now += step) {
            work();
            for (unsigned call = arrivals(random); call > 0; --call) {
                arrive(std::uniform_int_distribution<unsigned>(0, instances - 1)(random));
            }
            const auto ticks = (now - TimePoint{}) / step;
            for (unsigned instance = 0; instance < instances; ++instance) {
                if ((ticks + instance) % 30 == 0) { // every 150 ms
                    for (unsigned server = 0; server < servers; ++server) {
                        ServerView &view = states[instance].servers.at(idOf(server));
                        view.reportedRunning = view.running;
                        reported[instance][server] = view.running;
                    }
                }
            }
            if (hasLeader && ticks % 20 == 0) { // every 100 ms
                publish();
            }
        }
    }

    void startCounting()
    {
        sent = 0;
        rejected = 0;
        waited = 0;
    }

    bool knowsCallTime = true;
    bool hasLeader = true;
    std::vector<DispatchState> states;
    std::vector<std::array<unsigned, servers>> reported;
    std::vector<RunningCall> calls;
    std::minstd_rand random{11};
    TimePoint now{seconds(100)};
    unsigned sent = 0;
    unsigned rejected = 0;
    unsigned waited = 0;
};

} // namespace

// Guards against calls of all instances at one server, which rejects them, while the others have free slots.
TEST_CASE("Many instances do not crowd the server that had the fewest calls some time ago")
{
    Replay spread(true);
    Replay crowded(false);
    for (Replay *replay : {&spread, &crowded}) {
        replay->run(seconds(3));
        replay->startCounting();
        replay->run(seconds(20));
    }
    INFO("rejected " << spread.rejected << " of " << spread.sent << ", without the time of calls " << crowded.rejected << " of " << crowded.sent);
    CHECK(crowded.rejected + crowded.waited > crowded.sent / 50);
    CHECK(spread.rejected + spread.waited < spread.sent / 200);

    SECTION("nor the one that had the fewest when the leader was lost")
    {
        spread.hasLeader = false;
        spread.startCounting();
        spread.run(seconds(5));
        CHECK(spread.rejected + spread.waited < spread.sent / 200);
    }
}
