#include "mimosahollow/dispatch/loadresults.h"
#include "mimosahollow/dispatch/dispatch.h"

#include <catch2/catch.hpp>

using namespace mimosahollow;
using namespace mimosahollow::dispatch;

namespace {

const TimePoint start{seconds(100)};

/** An engine of which the leader tells that adapter a1 is in transit. */
struct Instance
{
    Instance()
    {
        registry::ServerRecord record;
        record.id = "s1";
        record.service = "chat";
        record.address = "10.0.0.1:80";
        record.born = 1;
        record.sequence = 1;
        updateServer(state, record, start);
        call.service = "chat";
        call.model = "base";
        call.adapter = "a1";
    }

    void place(unsigned readyMilliseconds, TimePoint now, std::uint64_t version = 1)
    {
        applyPlacement(state, {1, {{"s1", 1, {{"base", "a1", version, readyMilliseconds}}}}, ++number}, now);
    }

    /** A call is sent at @p sentAt and answered 5 ms later. */
    void send(bool isFound, TimePoint sentAt)
    {
        recordLoadResult(state, "s1", call, isFound, sentAt);
        if (!isFound) {
            handleMissingModel(state, "s1", call, sentAt + milliseconds(5));
        }
    }

    [[nodiscard]] const AdapterView &copy() const
    {
        return state.servers.at("s1").adapters.at({"base", "a1"});
    }

    DispatchState state;
    Call call;
    std::uint64_t number = 0;
};

} // namespace

// Guards against load results that tell nothing of the load time, which would raise or lower the assumed time for the whole fleet.
TEST_CASE("The first call after the end of a load tells whether it was prompt")
{
    Instance instance;
    const placement::LoadResults &results = instance.state.loadResults;
    instance.place(240, start);
    const TimePoint end = start + milliseconds(240);

    SECTION("found or missing, once")
    {
        const bool isFound = GENERATE(true, false);
        instance.send(isFound, end);
        instance.send(isFound, end + milliseconds(1));
        CHECK(results.prompt == (isFound ? 1 : 0));
        CHECK(results.late == (isFound ? 0 : 1));
    }
    SECTION("also when other copies on the engine change during the load and after it")
    {
        instance.place(40, start + milliseconds(200));
        instance.place(0, end + milliseconds(2));
        instance.send(false, end + milliseconds(10));
        CHECK(results.late == 1);
    }
    SECTION("not when the call came long after the load, since the copy may have been evicted")
    {
        instance.place(0, end + milliseconds(700));
        instance.send(false, end + seconds(1));
        CHECK(results.late == 0);
    }
    SECTION("not when the leader has learned that the copy was there before")
    {
        instance.place(0, start + milliseconds(20));
        instance.send(true, end + milliseconds(1));
        CHECK(results.prompt == 0);
    }
    SECTION("not of a load from host memory, or of a copy that was never seen in transit")
    {
        instance.place(30, start + seconds(2), 2);
        instance.send(true, start + seconds(2) + milliseconds(30));
        instance.place(0, start + seconds(4), 3);
        instance.send(true, start + seconds(4));
        CHECK(results.prompt == 0);
    }
}

// Guards against metrics and logs that show rejections of one kind where they have another cause.
TEST_CASE("A missing adapter is told apart by when it was missing")
{
    Instance instance;
    instance.place(240, start);
    const TimePoint end = start + milliseconds(240);
    const Send sent{"s1", "10.0.0.1:80", 1, 1};
    CHECK(missingCause(instance.state, sent, instance.call, end) == RejectionCause::MissingAtLoadEnd);
    CHECK(missingCause(instance.state, sent, instance.call, end + seconds(1)) == RejectionCause::MissingLater);
    SECTION("the engine has got another version")
    {
        instance.place(0, end, 2);
        CHECK(missingCause(instance.state, sent, instance.call, end) == RejectionCause::OtherVersion);
    }
    SECTION("a newer version is required by now")
    {
        instance.state.requiredVersions["base/a1"] = 2;
        CHECK(missingCause(instance.state, sent, instance.call, end) == RejectionCause::OtherVersion);
    }
    SECTION("the copy is gone")
    {
        applyPlacement(instance.state, {1, {{"s1", 1, {}}}, 9}, end);
        CHECK(missingCause(instance.state, sent, instance.call, end) == RejectionCause::MissingLater);
    }
}

// Guards against calls that are sent to a copy again and again because the placement of another adapter on the engine has changed.
TEST_CASE("A copy that was not found is tried again after a while, whatever the leader tells of its end")
{
    Instance instance;
    instance.place(240, start);
    const TimePoint end = start + milliseconds(240);
    instance.send(false, end);
    const TimePoint nextTry = instance.copy().readyAt;
    REQUIRE(nextTry > end + milliseconds(50));
    instance.place(0, end + milliseconds(10));
    CHECK(instance.copy().readyAt == nextTry);
    SECTION("until another load begins")
    {
        instance.place(240, end + milliseconds(20), 2);
        CHECK(instance.copy().readyAt == end + milliseconds(260));
        CHECK(instance.copy().isLoadUntested);
    }
}
