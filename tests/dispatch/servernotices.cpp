#include "mimosahollow/dispatch/servernotices.h"
#include "mimosahollow/dispatch/dispatch.h"

#include <catch2/catch.hpp>

using namespace mimosahollow;
using namespace mimosahollow::dispatch;

namespace {

const TimePoint start{seconds(100)};

registry::ServerRecord record(const std::string &id, std::uint64_t born, std::uint64_t sequence)
{
    return {id, "rest", "10.0.0.1:80", "north", 6, registry::ServerState::Ready, born, sequence, 0, {}};
}

DispatchState stateOf(std::initializer_list<const char *> servers)
{
    catalog::Catalog catalog;
    catalog.services = {{"rest", 100, 0, std::nullopt}};
    DispatchState state;
    state.options.domain = "north";
    state.catalog = std::make_shared<const catalog::CatalogIndex>(std::make_shared<const catalog::Catalog>(std::move(catalog)));
    for (const char *id : servers) {
        updateServer(state, record(id, 1, 1), start);
    }
    return state;
}

Call callAt(TimePoint now)
{
    Call call;
    call.id = "q1";
    call.service = "rest";
    call.arrived = now;
    call.objectiveEnd = now + milliseconds(100);
    call.deadline = now + milliseconds(600);
    return call;
}

bool isSentTo(const Decision &decision, std::string_view server)
{
    const auto *send = std::get_if<Send>(&decision);
    return send != nullptr && send->server == server;
}

} // namespace

// Guards against calls that are started at a backend server after it has said that it leaves (DRAIN).
TEST_CASE("A backend server that says that it leaves gets no further call")
{
    DispatchState state = stateOf({"s1", "s2"});
    CHECK(leavingStated(state, "s1", 1));
    CHECK_FALSE(leavingStated(state, "s1", 1)); // nothing new
    for (int i = 0; i < 20; ++i) {
        CHECK(isSentTo(decide(state, callAt(start), start), "s2"));
    }
    SECTION("although later announcements call it ready")
    {
        CHECK(updateServer(state, record("s1", 1, 2), start));
        CHECK(isSentTo(decide(state, callAt(start), start), "s2"));
    }
    SECTION("until a new incarnation of it is known")
    {
        CHECK(updateServer(state, record("s1", 2, 1), start));
        CHECK(leavingStated(state, "s2", 1));
        CHECK(isSentTo(decide(state, callAt(start), start), "s1"));
        AND_WHEN("a late answer and a late announcement of the old one arrive")
        {
            CHECK_FALSE(leavingStated(state, "s1", 1));
            CHECK_FALSE(updateServer(state, record("s1", 1, 9), start));
            CHECK(isSentTo(decide(state, callAt(start), start), "s1"));
        }
    }
    SECTION("and calls are refused when the last one leaves")
    {
        CHECK(leavingStated(state, "s2", 1));
        CHECK(std::holds_alternative<Refuse>(decide(state, callAt(start), start + milliseconds(100))));
    }
}

// Guards against calls to a backend server within the time for which it has asked for none (BUDGET).
TEST_CASE("A backend server that asks for silence gets no call until it ends")
{
    DispatchState state = stateOf({"s1", "s2"});
    CHECK(silenceRequested(state, "s1", 1, seconds(3), start));
    const TimePoint end = state.servers.at("s1").silentUntil;
    CHECK(end >= start + seconds(3));
    CHECK(end <= start + seconds(3) + milliseconds(250));

    SECTION("but a silence of no length is none")
    {
        silenceRequested(state, "s2", 1, Duration::zero(), start);
        CHECK(isSentTo(decide(state, callAt(start), start), "s2"));
    }
    SECTION("and the other one takes the calls")
    {
        for (int i = 0; i < 20; ++i) {
            CHECK(isSentTo(decide(state, callAt(start), start), "s2"));
        }
    }
    SECTION("a second request counts only if it ends later")
    {
        CHECK_FALSE(silenceRequested(state, "s1", 1, seconds(1), start + seconds(1)));
        CHECK(state.servers.at("s1").silentUntil == end);
        CHECK(silenceRequested(state, "s1", 1, seconds(4), start + seconds(1)));
        CHECK(state.servers.at("s1").silentUntil >= start + seconds(5));
    }
    SECTION("a new incarnation ends it, and an answer of the old one doesn't begin it again")
    {
        CHECK(updateServer(state, record("s1", 2, 1), start));
        CHECK_FALSE(silenceRequested(state, "s1", 1, seconds(3), start));
        CHECK(leavingStated(state, "s2", 1));
        CHECK(isSentTo(decide(state, callAt(start), start), "s1"));
    }
    SECTION("if all are silent, a call waits for an end in time, and is otherwise refused at once until the first one ends")
    {
        CHECK(silenceRequested(state, "s2", 1, seconds(2), start));
        const Decision refused = decide(state, callAt(start), start);
        REQUIRE(std::holds_alternative<Refuse>(refused));
        CHECK(std::get<Refuse>(refused).cause == RefusalCause::SilentServers);
        CHECK(std::get<Refuse>(refused).retryAfter == state.servers.at("s2").silentUntil - start);

        const TimePoint almost = state.servers.at("s2").silentUntil - milliseconds(50);
        const Decision waiting = decide(state, callAt(almost), almost);
        REQUIRE(std::holds_alternative<Wait>(waiting));
        CHECK(std::get<Wait>(waiting).until == state.servers.at("s2").silentUntil);
        CHECK(isSentTo(decide(state, callAt(almost), state.servers.at("s2").silentUntil), "s2"));
    }
}
