#include "mimosahollow/dispatch/versions.h"
#include "mimosahollow/dispatch/dispatch.h"

#include <catch2/catch.hpp>

#include <random>

using namespace mimosahollow;
using namespace mimosahollow::dispatch;

namespace {

const TimePoint start{seconds(100)};
constexpr unsigned slots = 4;

/** Three engines, and a call for adapter a1. */
struct Instance
{
    Instance()
    {
        catalog::Catalog catalog;
        catalog::EngineSpec engine;
        engine.models = {{"base", 1000, 10, seconds(2)}};
        engine.memoryMb = 2000;
        engine.adapterSlots = 4;
        catalog.services = {{"chat", 100, 20, engine}};
        state.catalog = std::make_shared<const catalog::CatalogIndex>(std::make_shared<const catalog::Catalog>(std::move(catalog)));
        for (const char *id : {"s1", "s2", "s3"}) {
            registry::ServerRecord record;
            record.id = id;
            record.service = "chat";
            record.address = std::string(id) + ":80";
            record.slots = slots;
            record.born = 1;
            record.sequence = 1;
            updateServer(state, record, start);
        }
    }

    void place(const std::string &server, std::uint64_t version, unsigned readyMilliseconds, TimePoint now)
    {
        applyPlacement(state, {1, {{server, 1, {{"base", "a1", version, readyMilliseconds}}}}, ++number}, now);
    }

    [[nodiscard]] Decision decideAt(TimePoint now)
    {
        Call call;
        call.id = "q1";
        call.service = "chat";
        call.model = "base";
        call.adapter = "a1";
        call.arrived = now;
        call.objectiveEnd = now + milliseconds(600);
        call.deadline = now + seconds(12);
        return decide(state, call, now);
    }

    DispatchState state;
    std::uint64_t number = 0;
};

} // namespace

// Load pattern: new versions of popular adapters. Guards against calls that wait or are refused for a load time, and against calls that begin on an
// older version longer than the platform allows.
TEST_CASE("Calls use older copies for a while after a new version")
{
    Instance instance;
    instance.place("s1", 1, 0, start);
    setRequiredVersions(instance.state, {{"base/a1", 2}}, true, start);

    SECTION("expecting the version of the copy")
    {
        const Decision decision = instance.decideAt(start);
        REQUIRE(std::holds_alternative<Send>(decision));
        CHECK(std::get<Send>(decision).adapterVersion == 1);
        SECTION("or any, if it is not known")
        {
            instance.place("s1", 0, 0, start);
            CHECK(std::get<Send>(instance.decideAt(start)).adapterVersion == 0);
        }
    }
    SECTION("until one of the new version is ready")
    {
        instance.place("s2", 2, 288, start);
        CHECK(std::get<Send>(instance.decideAt(start + milliseconds(287))).server == "s1");
        CHECK(std::get<Send>(instance.decideAt(start + milliseconds(288))).server == "s2");
        SECTION("and can take the call")
        {
            for (unsigned i = 0; i < slots; ++i) {
                callStarted(instance.state, "s2", start + milliseconds(288));
            }
            CHECK(std::get<Send>(instance.decideAt(start + milliseconds(288))).server == "s1");
        }
    }
    SECTION("for 3 s")
    {
        CHECK(std::holds_alternative<Send>(instance.decideAt(start + milliseconds(2999))));
        CHECK(std::holds_alternative<Wait>(instance.decideAt(start + seconds(3))));
    }
    SECTION("counted from the first of several versions")
    {
        setRequiredVersions(instance.state, {{"base/a1", 3}}, true, start + seconds(2));
        CHECK(std::holds_alternative<Wait>(instance.decideAt(start + seconds(3))));
    }
    SECTION("not at an instance that cannot tell when the version came into force")
    {
        setRequiredVersions(instance.state, {{"base/a1", 3}}, false, start + seconds(1));
        CHECK(std::holds_alternative<Wait>(instance.decideAt(start + seconds(1))));
    }
}

// Property: no call begins on an older version later than 3 s after the instance has learned of the newer one, whatever copies, versions and states come.
TEST_CASE("No call begins on an older version after its time")
{
    const auto seed = GENERATE(range(1U, 31U));
    INFO("seed " << seed);
    std::minstd_rand random(seed);
    Instance instance;
    std::map<std::string, std::uint64_t> held;
    std::map<std::uint64_t, TimePoint> usableUntil; // by version that was replaced
    std::uint64_t required = 1;
    setRequiredVersions(instance.state, {{"base/a1", required}}, false, start);
    TimePoint now = start;
    unsigned older = 0;
    for (int step = 0; step < 2000; ++step, now += milliseconds(10)) {
        if (random() % 300 == 0) {
            const bool isRecent = random() % 4 != 0;
            usableUntil[required] = isRecent ? now + seconds(3) : now;
            setRequiredVersions(instance.state, {{"base/a1", ++required}}, isRecent, now);
        }
        if (random() % 40 == 0) {
            const std::string server = "s" + std::to_string(1 + random() % 3);
            held[server] = required - random() % std::min<std::uint64_t>(required, 3);
            instance.place(server, held[server], static_cast<unsigned>(random() % 300), now);
        }
        const Decision decision = instance.decideAt(now);
        if (const auto *send = std::get_if<Send>(&decision); send != nullptr && held[send->server] < required) {
            ++older;
            REQUIRE(now < usableUntil[held[send->server]]);
            REQUIRE((send->adapterVersion == 0 || send->adapterVersion == held[send->server]));
        }
    }
    CHECK(older > 0);
}
