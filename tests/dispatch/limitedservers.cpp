#include "mimosahollow/callpermits/permitissuer.h"
#include "mimosahollow/dispatch/dispatch.h"
#include "mimosahollow/dispatch/serverlimits.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <list>
#include <vector>

using namespace mimosahollow;
using namespace mimosahollow::dispatch;

namespace {

const TimePoint start{seconds(100)};
constexpr Duration step = milliseconds(20);
constexpr Duration objective = milliseconds(600);
constexpr double limit = 4; // calls per second of each engine
constexpr unsigned engineCount = 3;

/** An entry instance whose engines have all named limits, with the permits of the leader. */
struct LimitedService
{
    LimitedService()
    {
        catalog::Catalog catalog;
        catalog.services = {{"llm", 0, 0, catalog::EngineSpec{}}};
        state.catalog = std::make_shared<const catalog::CatalogIndex>(std::make_shared<const catalog::Catalog>(std::move(catalog)));
        for (unsigned engine = 0; engine < engineCount; ++engine) {
            registry::ServerRecord record;
            record.id = "s" + std::to_string(engine);
            record.service = "llm";
            record.slots = 100;
            record.born = 1;
            record.held = {{"base", "", 1}};
            updateServer(state, record, start);
            limitStated(state, record.id, limit, start);
            callpermits::applyStatement(issuer, {record.id, 1, limit}, start, start);
        }
    }

    void arrive()
    {
        Call call;
        call.id = "c" + std::to_string(++calls);
        call.service = "llm";
        call.model = "base";
        call.arrived = now;
        call.objectiveEnd = now + objective;
        call.deadline = now + seconds(10);
        waiting.push_back(call);
    }

    /** Decides for all calls, the oldest first, and obtains the permits that they ask for. */
    void decideAll()
    {
        unsigned ahead = 0;
        for (auto call = waiting.begin(); call != waiting.end();) {
            const Decision decision = decide(state, *call, now, {ahead, call->arrived < now});
            if (const auto *send = std::get_if<Send>(&decision)) {
                callStarted(state, send->server, now);
                sent.push_back(*call);
                sentInTime += now <= call->objectiveEnd ? 1 : 0;
            } else if (const auto *refuse = std::get_if<Refuse>(&decision)) {
                refusedAfter.push_back(now - call->arrived);
                returnTimes.push_back(now + refuse->retryAfter);
            } else {
                ++ahead;
                ++call;
                continue;
            }
            call = waiting.erase(call);
        }
        for (auto &[id, server] : state.servers) {
            const auto wanted = static_cast<unsigned>(std::exchange(server.permitWishes, {}).size());
            addPermits(state, id, callpermits::issue(issuer, id, wanted, now), now);
        }
    }

    void run(Duration time, unsigned callsPerStep)
    {
        for (const TimePoint end = now + time; now < end; now += step) {
            for (unsigned i = 0; i < callsPerStep; ++i) {
                arrive();
            }
            decideAll();
        }
    }

    DispatchState state;
    callpermits::PermitIssuer issuer;
    TimePoint now = start;
    unsigned calls = 0;
    std::list<Call> waiting; /**< Oldest first. */
    std::vector<Call> sent;
    std::size_t sentInTime = 0;
    std::vector<Duration> refusedAfter;
    std::vector<TimePoint> returnTimes;
};

} // namespace

// Guards against calls that wait until their wait limit although the calls before them use all permits until then, and against queues in which
// all calls become late.
TEST_CASE("Calls beyond the limits of all servers are refused when they arrive")
{
    LimitedService service;
    constexpr unsigned runSeconds = 20;
    service.run(seconds(runSeconds), 1); // 50 calls a second, four times the limits
    const auto refusedAtOnce = std::count_if(service.refusedAfter.begin(), service.refusedAfter.end(), [](Duration waited) {
        return waited < step;
    });
    CHECK(static_cast<double>(refusedAtOnce) >= 0.9 * static_cast<double>(service.refusedAfter.size()));
    CHECK(static_cast<double>(service.sent.size()) >= 0.9 * engineCount * limit * runSeconds);
    CHECK(static_cast<double>(service.sentInTime) >= 0.9 * static_cast<double>(service.sent.size()));

    SECTION("and their callers return one after the other")
    {
        std::vector<TimePoint> returns(service.returnTimes.begin(), service.returnTimes.begin() + 10);
        CHECK(std::is_sorted(returns.begin(), returns.end()));
        CHECK(returns.back() - returns.front() >= fromSeconds(9 / (2 * engineCount * limit)));
    }
}

// Guards against refusals while permits are free.
TEST_CASE("Calls within the limits of all servers are not refused")
{
    LimitedService service;
    for (unsigned i = 0; i < 100; ++i) {
        service.run(step, 1);
        service.run(milliseconds(100), 0); // 8 calls a second
    }
    CHECK(service.refusedAfter.empty());
    CHECK(service.sent.size() + service.waiting.size() == 100);
}
