#include "mimosahollow/dispatch/dispatch.h"

#include <catch2/catch.hpp>

using namespace mimosahollow;
using namespace mimosahollow::dispatch;

namespace {

const TimePoint start{seconds(100)};

registry::ServerRecord record(const std::string &id, const std::string &service, unsigned slots, std::uint64_t sequence = 1)
{
    registry::ServerRecord made;
    made.id = id;
    made.service = service;
    made.address = "10.0.0." + id.substr(1) + ":80";
    made.domain = "north";
    made.slots = slots;
    made.born = 1;
    made.sequence = sequence;
    if (service == "chat") {
        made.held = {{"base", {}, 1}};
    }
    return made;
}

/** Two engines and two plain backend servers; the first engine holds adapter a1. */
DispatchState makeState()
{
    catalog::Catalog catalog;
    catalog::EngineSpec engine;
    engine.models = {{"base", 1000, 10, seconds(2)}};
    engine.memoryMb = 2000;
    engine.adapterSlots = 4;
    catalog.services = {{"chat", 100, 20, engine}, {"rest", 100, 0, std::nullopt}};
    DispatchState state;
    state.options.domain = "north";
    state.catalog = std::make_shared<const catalog::CatalogIndex>(std::make_shared<const catalog::Catalog>(std::move(catalog)));
    for (const char *id : {"s1", "s2"}) {
        updateServer(state, record(id, "chat", 64), start);
    }
    for (const char *id : {"s3", "s4"}) {
        updateServer(state, record(id, "rest", 6), start);
    }
    applyPlacement(state, {1, {{"s1", 1, {{"base", "a1", 1, 0}}}, {"s2", 1, {}}}}, start);
    return state;
}

Call modelCall(std::string adapter)
{
    Call call;
    call.id = "q1";
    call.service = "chat";
    call.model = "base";
    call.adapter = std::move(adapter);
    call.arrived = start;
    call.objectiveEnd = start + milliseconds(600);
    call.deadline = start + seconds(12);
    return call;
}

Call plainCall()
{
    Call call = modelCall({});
    call.service = "rest";
    call.model.clear();
    call.objectiveEnd = start + milliseconds(100);
    call.deadline = start + milliseconds(600);
    return call;
}

std::string sentTo(const Decision &decision)
{
    const auto *send = std::get_if<Send>(&decision);
    return send == nullptr ? std::string() : send->server;
}

} // namespace

// Guards against calls with the wrong adapter or version, and against calls to backend servers that must not receive any.
TEST_CASE("A call goes to a backend server that holds its adapter")
{
    DispatchState state = makeState();
    REQUIRE(sentTo(decide(state, modelCall("a1"), start)) == "s1");

    SECTION("only at the required version")
    {
        state.requiredVersions["base/a1"] = 2;
        CHECK(std::holds_alternative<Wait>(decide(state, modelCall("a1"), start)));
        applyPlacement(state, {1, {{"s2", 1, {{"base", "a1", 2, 0}}}}}, start);
        const Decision decision = decide(state, modelCall("a1"), start);
        CHECK(sentTo(decision) == "s2");
        CHECK(std::get<Send>(decision).adapterVersion == 2);
    }
    SECTION("not before its load has ended")
    {
        applyPlacement(state, {1, {{"s2", 1, {{"base", "a2", 1, 200}}}}}, start);
        const Decision decision = decide(state, modelCall("a2"), start);
        REQUIRE(std::holds_alternative<Wait>(decision));
        CHECK(std::get<Wait>(decision).until == start + milliseconds(200));
        CHECK(sentTo(decide(state, modelCall("a2"), start + milliseconds(200))) == "s2");
    }
    SECTION("not if it is draining or in an evacuated failure domain")
    {
        registry::ServerRecord draining = record("s1", "chat", 64, 2);
        draining.state = registry::ServerState::Draining;
        updateServer(state, draining, start);
        CHECK(sentTo(decide(state, modelCall("a1"), start)).empty());
        state.evacuatedDomains.insert("north");
        CHECK(sentTo(decide(state, plainCall(), start)).empty());
    }
    SECTION("not according to a placement from an earlier leader term")
    {
        applyPlacement(state, {2, {{"s1", 1, {}}}}, start);
        applyPlacement(state, {1, {{"s1", 1, {{"base", "a1", 1, 0}}}}}, start);
        CHECK(sentTo(decide(state, modelCall("a1"), start)).empty());
    }
}

// Guards against overload, and against calls that wait beyond their objective, when more calls arrive than the backend servers can take.
TEST_CASE("Calls to a full service wait within their objective and are then refused")
{
    DispatchState state = makeState();
    unsigned sent = 0;
    while (true) {
        const std::string server = sentTo(decide(state, plainCall(), start));
        if (server.empty()) {
            break;
        }
        callStarted(state, server, start);
        ++sent;
    }
    CHECK(sent == 2 * (6 + state.options.plainQueueLimit));
    const Decision waiting = decide(state, plainCall(), start);
    REQUIRE(std::holds_alternative<Wait>(waiting));
    CHECK(std::get<Wait>(waiting).until <= plainCall().objectiveEnd);

    SECTION("freed capacity is used")
    {
        callEnded(state, "s3", CallResult::Answered, start);
        CHECK(sentTo(decide(state, plainCall(), start)) == "s3");
    }
    SECTION("near the end of the objective the call is refused with a retry time")
    {
        const Decision late = decide(state, plainCall(), start + milliseconds(95));
        REQUIRE(std::holds_alternative<Refuse>(late));
        CHECK(std::get<Refuse>(late).cause == RefusalCause::NoCapacity);
        CHECK(std::get<Refuse>(late).retryAfter > Duration{});
    }
}

// Guards against overload when the backend servers of a zone return cold together and every entry instance has calls for them.
TEST_CASE("An entry instance sends a cold backend server no more than its share of the permitted rate")
{
    DispatchState state = makeState();
    state.entryInstances = 4;
    for (const char *id : {"s1", "s2"}) {
        registry::ServerRecord cold = record(id, "chat", 64, 2);
        cold.coldMilliseconds = 3000;
        updateServer(state, cold, start);
    }
    unsigned sent = 0;
    for (int call = 0; call < 50; ++call) {
        const std::string server = sentTo(decide(state, modelCall("a1"), start));
        if (!server.empty()) {
            callStarted(state, server, start);
            ++sent;
        }
    }
    CHECK(sent == 5); // 20 per second, divided among four instances
    CHECK_FALSE(sentTo(decide(state, modelCall("a1"), start + milliseconds(1001))).empty());
    CHECK_FALSE(sentTo(decide(state, modelCall("a1"), start + milliseconds(3001))).empty());
}

// Guards against calls to a backend server that announces itself as ready but fails half of its calls.
TEST_CASE("A backend server that fails calls receives fewer, and recovers its share once it answers")
{
    DispatchState state = makeState();
    for (int call = 0; call < 10; ++call) {
        callStarted(state, "s3", start);
        callEnded(state, "s3", call % 2 == 0 ? CallResult::Failed : CallResult::Answered, start);
    }
    unsigned failing = 0;
    for (int call = 0; call < 3; ++call) {
        const std::string server = sentTo(decide(state, plainCall(), start));
        callStarted(state, server, start);
        failing += server == "s3" ? 1 : 0;
    }
    CHECK(failing == 0);
    for (int call = 0; call < 40; ++call) {
        callStarted(state, "s3", start);
        callEnded(state, "s3", CallResult::Answered, start);
    }
    CHECK(state.servers.at("s3").failureRate < 0.01);

    SECTION("after a failed connection, a backend server is avoided for a short time")
    {
        callStarted(state, "s4", start);
        callEnded(state, "s4", CallResult::Unreachable, start);
        CHECK(sentTo(decide(state, plainCall(), start)) == "s3");
    }
}

// Load pattern: many engines crash at once, and each of 193 instances finds out by itself. Guards against a wait for each lost engine every 600 ms.
TEST_CASE("A backend server that stays unreachable is tried less and less often")
{
    DispatchState state = makeState();
    TimePoint now = start;
    unsigned attempts = 0;
    for (; now < start + seconds(8); now += milliseconds(50)) {
        if (now >= state.servers.at("s3").avoidUntil) {
            callStarted(state, "s3", now);
            callEnded(state, "s3", CallResult::Unreachable, now);
            ++attempts;
        }
    }
    CHECK(attempts <= 5);
    SECTION("calls that fail at the same time count once")
    {
        DispatchState fresh = makeState();
        for (int call = 0; call < 5; ++call) {
            callEnded(fresh, "s3", CallResult::Unreachable, start);
        }
        CHECK(fresh.servers.at("s3").avoidUntil == start + fresh.options.connectFailurePause);
    }
    SECTION("one call that it receives ends the longer pauses")
    {
        callEnded(state, "s3", CallResult::Answered, now);
        CHECK(state.servers.at("s3").connectFailures == 0);
    }
}

// Guards against further calls to a backend server after another one has taken over its address and answers that it lacks the model.
TEST_CASE("A backend server without the model of a call receives no more such calls")
{
    DispatchState state = makeState();
    SECTION("a plain backend server is considered gone until it announces itself again")
    {
        const std::string first = sentTo(decide(state, plainCall(), start));
        handleMissingModel(state, first, plainCall(), start);
        for (int i = 0; i < 20; ++i) {
            CHECK(sentTo(decide(state, plainCall(), start)) != first);
        }
        CHECK(updateServer(state, record(first, "rest", 6, 2), start));
        CHECK(state.servers.at(first).record.state == registry::ServerState::Ready);
    }
    SECTION("an engine without the base model")
    {
        handleMissingModel(state, "s1", modelCall({}), start);
        CHECK(sentTo(decide(state, modelCall({}), start)) == "s2");
        CHECK(sentTo(decide(state, modelCall("a1"), start)) == "s1");
    }
}

// Guards against failed calls when loads end later than expected because more adapters are in transit than the leader counts.
TEST_CASE("A call sent before the end of a load is sent to the same backend server again shortly after")
{
    DispatchState state = makeState();
    applyPlacement(state, {1, {{"s2", 1, {{"base", "a2", 1, 250}}}}}, start);
    Call call = modelCall("a2");
    const TimePoint expected = start + milliseconds(250);
    REQUIRE(sentTo(decide(state, call, expected)) == "s2");
    handleMissingModel(state, "s2", call, expected);
    call.pinnedServer = "s2";
    const Decision decision = decide(state, call, expected);
    REQUIRE(std::holds_alternative<Wait>(decision));
    CHECK(sentTo(decide(state, call, std::get<Wait>(decision).until)) == "s2");
    SECTION("a pinned call is refused when the copy is gone")
    {
        handleMissingModel(state, "s2", call, start + seconds(3));
        CHECK(std::holds_alternative<Refuse>(decide(state, call, expected)));
    }
}

// Load pattern: an engine crashes and its announcements are missed seconds later only. Guards against a copy that is tried again and again: each
// report moved the time from which its limit was measured, and one such engine received 165 calls in two seconds.
TEST_CASE("A copy that calls do not find is dropped a second after its load should have ended")
{
    DispatchState state = makeState();
    applyPlacement(state, {1, {{"s2", 1, {{"base", "a2", 1, 0}}}}, 1}, start);
    const Call call = modelCall("a2");
    TimePoint now = start;
    unsigned misses = 0;
    for (; now < start + seconds(3); now += milliseconds(20)) {
        if (std::holds_alternative<Send>(decide(state, call, now))) {
            handleMissingModel(state, "s2", call, now);
            ++misses;
        }
    }
    CHECK(misses > 1);
    CHECK(misses <= 20);
    CHECK_FALSE(state.servers.at("s2").adapters.contains({"base", "a2"}));
    SECTION("the leader is asked to read the state of the engine")
    {
        CHECK(state.servers.at("s2").suspectUntil > start + seconds(1));
    }
    SECTION("a newer placement brings the copy back")
    {
        applyPlacement(state, {1, {{"s2", 1, {{"base", "a2", 1, 0}}}}, 2}, now);
        CHECK(sentTo(decide(state, call, now)) == "s2");
    }
}

// Guards against overload of a backend server that returns cold while all instances of a large fleet have waiting calls. With one call per
// second from each of 58 instances it received 58 (scenario FAILBACK on scale-1, seed 45616695525); the platform allows 1.5 x 20 + 5.
TEST_CASE("A large fleet stays within the permitted call rate of a cold backend server")
{
    constexpr unsigned instances = 58;
    constexpr std::size_t allowed = 35;
    std::vector<DispatchState> fleet;
    for (unsigned i = 0; i < instances; ++i) {
        DispatchState state = makeState();
        state.entryInstances = instances;
        state.random.seed(i + 1);
        registry::ServerRecord gone = record("s1", "chat", 64, 2);
        gone.state = registry::ServerState::Gone;
        updateServer(state, gone, start);
        fleet.push_back(std::move(state));
    }
    std::vector<TimePoint> sends;
    std::uint64_t sequence = 2;
    TimePoint now = start;
    const auto coldPeriod = [&] {
        ++sequence;
        registry::ServerRecord cold = record("s2", "chat", 64, sequence);
        cold.coldMilliseconds = 3000;
        for (DispatchState &state : fleet) {
            updateServer(state, cold, now);
        }
        for (const TimePoint end = now + milliseconds(2990); now < end; now += milliseconds(10)) {
            for (DispatchState &state : fleet) {
                Call call = modelCall({});
                call.arrived = now;
                call.objectiveEnd = now + milliseconds(600);
                if (sentTo(decide(state, call, now)) == "s2") {
                    callStarted(state, "s2", now);
                    callEnded(state, "s2", CallResult::Answered, now);
                    sends.push_back(now);
                }
            }
        }
    };
    coldPeriod();
    const std::size_t first = sends.size();
    CHECK(first >= 30); // half of the permitted calls in three seconds
    now += seconds(5);
    coldPeriod(); // the backend server becomes cold again
    CHECK(sends.size() > first);
    for (std::size_t i = 0; i < sends.size(); ++i) {
        const auto end = std::upper_bound(sends.begin(), sends.end(), sends[i] + milliseconds(999));
        REQUIRE(static_cast<std::size_t>(end - sends.begin()) - i <= allowed);
    }
}

// Guards against a call that waits when its prompt is quarantined, or that is sent all the same.
TEST_CASE("A call with a quarantined prompt part is refused at once, also while it waits")
{
    DispatchState state = makeState();
    Call call = modelCall("a1");
    call.fingerprints = {"shared", "fatal"};
    CHECK(sentTo(decide(state, call, start)) == "s1");
    state.quarantinedParts = {"fatal"};
    const Decision decision = decide(state, call, start);
    REQUIRE(std::holds_alternative<Refuse>(decision));
    CHECK(std::get<Refuse>(decision).cause == RefusalCause::QuarantinedPrompt);
    call.fingerprints = {"shared"};
    CHECK(sentTo(decide(state, call, start)) == "s1");
}

// Guards against calls to the earlier holder of an address: they reach its successor, which may have asked for silence.
TEST_CASE("An address belongs to the youngest backend server that has announced it")
{
    DispatchState state = makeState();
    registry::ServerRecord successor = record("s5", "rest", 6);
    successor.address = state.servers.at("s3").record.address;
    successor.born = 2;
    CHECK(updateServer(state, successor, start));
    CHECK(state.servers.at("s3").record.state == registry::ServerState::Gone);
    CHECK(state.servers.at("s4").record.state == registry::ServerState::Ready);

    SECTION("a late announcement of the earlier one changes nothing")
    {
        CHECK_FALSE(updateServer(state, record("s3", "rest", 6, 9), start));
        CHECK(state.servers.at("s3").record.state == registry::ServerState::Gone);
    }
    SECTION("an announcement of one that was not known before changes nothing either")
    {
        registry::ServerRecord earlier = record("s6", "rest", 6);
        earlier.address = successor.address;
        CHECK_FALSE(updateServer(state, earlier, start));
        CHECK_FALSE(state.servers.contains("s6"));
    }
    SECTION("the departure of the earlier one is still taken over")
    {
        registry::ServerRecord departed = record("s3", "rest", 6, 9);
        departed.state = registry::ServerState::Gone;
        CHECK(updateServer(state, departed, start));
    }
    SECTION("when the successor has left, the address is free")
    {
        successor.state = registry::ServerState::Gone;
        ++successor.sequence;
        CHECK(updateServer(state, successor, start));
        CHECK(updateServer(state, record("s3", "rest", 6, 9), start));
    }
}
