#include "mimosahollow/feed/feed.h"
#include "mimosahollow/dispatch/dispatch.h"

#include <catch2/catch.hpp>

#include <deque>
#include <random>
#include <set>

using namespace mimosahollow;
using namespace mimosahollow::feed;

namespace {

Subscriber entry(std::uint64_t peer, const std::string &domain, bool wantsDirect = false)
{
    return {peer, "entry-" + std::to_string(peer), domain, true, wantsDirect};
}

Subscriber coordinator(std::uint64_t peer, const std::string &name, const std::string &domain)
{
    return {peer, name, domain, false, false};
}

fleetlink::ServerPlacement placementWith(const std::string &server, const std::string &adapter, unsigned readyMilliseconds = 0)
{
    return {server, 1, {{"base", adapter, 0, readyMilliseconds}}};
}

} // namespace

// Guards against traffic between failure domains that grows with the number of entry instances: 193 of them received each placement from the
// leader itself, 11 MB/s.
TEST_CASE("The leader sends its feed once to each other failure domain")
{
    std::vector<Subscriber> subscribers{entry(1, "a"), entry(2, "b"), entry(3, "b"), coordinator(4, "core-b2", "b"), coordinator(5, "core-b1", "b")};
    SECTION("one coordinator of a domain passes it on; instances of the own domain get it directly")
    {
        CHECK(leaderReceivers(subscribers, "a") == std::vector<std::uint64_t>{1, 5});
        CHECK(relayReceivers(subscribers, "b") == std::vector<std::uint64_t>{2, 3});
    }
    SECTION("another coordinator of the domain takes over from a lost one")
    {
        subscribers.pop_back();
        CHECK(leaderReceivers(subscribers, "a") == std::vector<std::uint64_t>{1, 4});
    }
    SECTION("a domain without a coordinator is served by the leader")
    {
        subscribers.resize(3);
        CHECK(leaderReceivers(subscribers, "a") == std::vector<std::uint64_t>{1, 2, 3});
    }
    SECTION("an instance that its coordinator does not reach is served by the leader too")
    {
        subscribers[2].wantsDirect = true;
        CHECK(leaderReceivers(subscribers, "a") == std::vector<std::uint64_t>{1, 3, 5});
    }
}

// Guards against updates that repeat what receivers know, and against receivers that never get a dropped copy back.
TEST_CASE("A placement is published when it has changed or is old")
{
    TimePoint now{seconds(100)};
    FeedTable table;
    REQUIRE(store(table, {1, {placementWith("s1", "a1", 200)}, 1}, now));
    now += milliseconds(120);
    CHECK_FALSE(isNews(table, placementWith("s1", "a1", 80), now));
    CHECK(isNews(table, placementWith("s1", "a1", 140), now));
    CHECK(isNews(table, placementWith("s1", "a2", 80), now));
    CHECK(isNews(table, placementWith("s2", "a1"), now));
    now += seconds(6);
    CHECK(isNews(table, placementWith("s1", "a1"), now));

    SECTION("the whole table shows what remains of the loads")
    {
        const auto content = contentOf(table, now);
        REQUIRE(content.servers.size() == 1);
        CHECK(content.number == 1);
        CHECK(content.servers[0].adapters[0].readyMilliseconds == 0);
    }
    SECTION("a new term starts with an empty table, and the old one is refused")
    {
        REQUIRE(store(table, {2, {placementWith("s2", "a2")}, 1}, now));
        CHECK(table.rows.size() == 1);
        CHECK_FALSE(store(table, {1, {placementWith("s1", "a1")}, 9}, now));
    }
}

// Property: an instance that gets updates and whole tables in any order, some of them twice, by two ways, ends with the newest placement of each
// backend server. Guards against a relay that brings back an older placement.
TEST_CASE("Updates over two ways never bring back an older placement")
{
    const auto seed = GENERATE(range(1U, 31U));
    INFO("seed " << seed);
    std::minstd_rand random(seed);
    TimePoint now{seconds(100)};
    dispatch::DispatchState state;
    for (const std::string id : {"s1", "s2", "s3"}) {
        registry::ServerRecord record{id, "chat", id + ":80", "a", 12, registry::ServerState::Ready, 1, 1, 0, {}};
        REQUIRE(dispatch::updateServer(state, record, now));
    }
    FeedTable leader{1, 0, {}};
    FeedTable relay;
    std::deque<fleetlink::PlacementUpdate> direct;
    std::deque<fleetlink::PlacementUpdate> relayed;
    std::map<std::string, std::uint64_t> newestSeen;
    const auto deliver = [&](std::deque<fleetlink::PlacementUpdate> &way) {
        if (way.empty()) {
            return;
        }
        const fleetlink::PlacementUpdate update = way.front();
        way.pop_front();
        dispatch::applyPlacement(state, update, now);
        for (const auto &placement : update.servers) {
            std::uint64_t &seen = newestSeen[placement.server];
            const std::uint64_t version = std::stoull(placement.adapters[0].adapter);
            seen = std::max(seen, version);
            const auto &held = state.servers.at(placement.server).adapters;
            REQUIRE(held.size() == 1);
            REQUIRE(held.begin()->first.second == std::to_string(seen));
        }
    };
    std::uint64_t version = 0;
    for (int step = 0; step < 500; ++step) {
        now += milliseconds(10);
        const fleetlink::PlacementUpdate update{1, {placementWith("s" + std::to_string(1 + random() % 3), std::to_string(++version))}, leader.number + 1};
        store(leader, update, now);
        direct.push_back(update);
        if (random() % 4 != 0) { // otherwise lost with the connection to the relay, which then gets the whole table
            store(relay, update, now);
            relayed.push_back(update);
        } else {
            store(relay, contentOf(leader, now), now);
            relayed.push_back(contentOf(relay, now));
        }
        if (random() % 50 == 0) {
            direct.push_back(contentOf(leader, now));
        }
        for (auto count = random() % 3; count > 0; --count) {
            deliver(random() % 2 == 0 ? direct : relayed);
        }
    }
    while (!relayed.empty()) {
        deliver(relayed);
    }
    for (const auto &[server, row] : leader.rows) {
        CHECK(state.servers.at(server).adapters.begin()->first.second == row.placement.adapters[0].adapter);
    }
}

// Guards against calls counted twice: those that an instance has reported itself are part of the digest.
TEST_CASE("A load digest adds the calls of other instances only")
{
    const TimePoint now{seconds(100)};
    dispatch::DispatchState state;
    registry::ServerRecord record{"s1", "chat", "s1:80", "a", 12, registry::ServerState::Ready, 1, 1, 0, {}};
    REQUIRE(dispatch::updateServer(state, record, now));
    dispatch::ServerView &server = state.servers.at("s1");
    server.running = 4;
    server.reportedRunning = 3;
    dispatch::applyLoad(state, {1, {{registry::serverKey("s1"), 8}}}, now);
    CHECK(server.othersRunning == 5);
    SECTION("a server that is not named runs no calls")
    {
        dispatch::applyLoad(state, {1, {}}, now);
        CHECK(server.othersRunning == 0);
    }
    SECTION("a digest of an older term is dropped")
    {
        state.placementTerm = 2;
        dispatch::applyLoad(state, {1, {}}, now);
        CHECK(server.othersRunning == 5);
    }
}
