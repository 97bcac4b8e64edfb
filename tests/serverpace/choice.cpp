#include "replay.h"

#include "mimosahollow/dispatch/servernotices.h"

#include <catch2/catch.hpp>

using namespace mimosahollow;
using namespace mimosahollow::tests;

namespace {

/** The server that @p state chooses for a new call. */
std::string choice(DispatchState &state, TimePoint now)
{
    Call call;
    call.service = "chat";
    call.model = "base";
    call.arrived = now;
    call.objectiveEnd = call.deadline = now + seconds(1);
    return std::get<Send>(decide(state, call, now)).server;
}

} // namespace

// Guards against decisions by the last digest of a lost leader.
TEST_CASE("A pace that is not confirmed by another digest ends after a second")
{
    Replay replay(true);
    DispatchState &state = replay.states[0];
    for (unsigned engine = 1; engine < engines; ++engine) {
        state.servers[Replay::idOf(engine)].running = 3;
    }
    CHECK(choice(state, replay.now) == "s00");
    applyLoad(state, {1, {}, true, {}, {{registry::serverKey("s00"), 300}}}, replay.now);
    CHECK(choice(state, replay.now + milliseconds(900)) != "s00");
    CHECK(choice(state, replay.now + milliseconds(1000)) == "s00");

    SECTION("a digest of an earlier term changes nothing")
    {
        state.placementTerm = 2;
        applyLoad(state, {1, {}, true, {}, {{registry::serverKey("s00"), 300}}}, replay.now);
        CHECK(choice(state, replay.now + milliseconds(1000)) == "s00");
    }
}

// Guards against further calls at a server that has stopped answering, before the fleet has measured it.
TEST_CASE("An instance avoids a server that does not begin to answer")
{
    Replay replay(true);
    DispatchState &state = replay.states[0];
    for (int answer = 0; answer < 20; ++answer) {
        answerAwaited(state, "s01", replay.now);
        answerEnded(state, "s01", replay.now, true, replay.now + milliseconds(150));
    }
    for (unsigned engine = 1; engine < engines; ++engine) {
        state.servers[Replay::idOf(engine)].running = 3;
    }
    const TimePoint sentAt = replay.now;
    const TimePoint late = sentAt + milliseconds(700);
    answerAwaited(state, "s00", sentAt);
    CHECK(choice(state, sentAt + milliseconds(300)) == "s00");
    CHECK(choice(state, late) != "s00");

    SECTION("until the call ends")
    {
        answerEnded(state, "s00", sentAt, false, late);
        CHECK(choice(state, late) == "s00");
    }
    SECTION("or its first event arrives, after which the pace is measured")
    {
        answerEnded(state, "s00", sentAt, true, late);
        CHECK(choice(state, late) == "s00");
    }
    SECTION("also by what the server says itself, if it has a queue or is slow")
    {
        answerEnded(state, "s00", sentAt, false, late);
        const bool hasQueue = GENERATE(true, false);
        const serverpace::StatedLoad stated{1, hasQueue ? 12U : 0U, slots, hasQueue ? std::nullopt : std::optional(4.0)};
        REQUIRE(loadStated(state, "s00", 1, stated, late) == LoadNotice::Applied);
        CHECK(choice(state, late) != "s00");
        CHECK(choice(state, late + milliseconds(300)) == "s00");
    }
    SECTION("a statement of an earlier incarnation counts for nothing")
    {
        answerEnded(state, "s00", sentAt, false, late);
        CHECK(loadStated(state, "s00", 0, serverpace::StatedLoad{1, 12, slots, 4.0}, late) == LoadNotice::Ignored);
        CHECK(choice(state, late) == "s00");
    }
}
