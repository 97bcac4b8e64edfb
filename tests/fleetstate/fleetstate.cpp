#include "mimosahollow/fleetstate/fleetstate.h"
#include "mimosahollow/fleetstate/fleetcommand.h"

#include <catch2/catch.hpp>

using namespace mimosahollow;
using namespace mimosahollow::fleetstate;

namespace {

FleetCommand catalogOf(std::uint64_t version, std::string text)
{
    return {CommandKind::PutCatalog, version, {}, std::move(text)};
}

} // namespace

// Guards against an accepted configuration that an older, repeated or rival one replaces.
TEST_CASE("The highest catalog version rules")
{
    FleetState state;
    REQUIRE(apply(state, 1, catalogOf(5, "five")));

    SECTION("an older one changes nothing")
    {
        CHECK_FALSE(apply(state, 2, catalogOf(4, "four")));
        CHECK(*state.catalogText == "five");
    }
    SECTION("another operator's content under the same version changes nothing")
    {
        CHECK_FALSE(apply(state, 2, catalogOf(5, "rival")));
        CHECK(*state.catalogText == "five");
    }
    SECTION("a higher one replaces it")
    {
        CHECK(apply(state, 2, catalogOf(9, "nine")));
        CHECK(*state.catalogText == "nine");
        CHECK(state.catalogVersion == 9);
    }
}

// Guards against a version of an adapter that goes back.
TEST_CASE("Versions of an adapter only grow")
{
    FleetState state;
    CHECK(apply(state, 1, {CommandKind::NameAdapterVersion, 3, "m/a1", {}}));
    CHECK_FALSE(apply(state, 2, {CommandKind::NameAdapterVersion, 2, "m/a1", {}}));
    CHECK(state.adapterVersions.at("m/a1") == 3);
}

// Guards against a quarantine that is decided twice or cannot be taken back, and against quarantines without bound.
TEST_CASE("Prompt parts are quarantined once, can be released, and are bounded")
{
    FleetState state;
    CHECK(apply(state, 1, {CommandKind::QuarantinePart, 0, "first", {}}));
    CHECK_FALSE(apply(state, 2, {CommandKind::QuarantinePart, 0, "first", {}}));
    CHECK_FALSE(apply(state, 3, {CommandKind::QuarantinePart, 0, "", {}}));
    for (control::LogIndex index = 4; index < 104; ++index) {
        CHECK(apply(state, index, {CommandKind::QuarantinePart, 0, "part-" + std::to_string(index), {}}));
    }
    CHECK(state.quarantinedParts.size() == 64);
    CHECK_FALSE(state.quarantinedParts.contains("first"));
    CHECK(state.quarantinedParts.contains("part-103"));
    CHECK(apply(state, 104, {CommandKind::ReleasePart, 0, "part-103", {}}));
    CHECK_FALSE(apply(state, 105, {CommandKind::ReleasePart, 0, "part-103", {}}));
}

// Guards against two contents for one reporting window, and against usage reports without bound in the replicated state.
TEST_CASE("The first counts of a reporting window rule")
{
    const auto fix = [](std::uint64_t window, std::uint64_t calls) {
        return FleetCommand{CommandKind::FixUsage, window, {}, {}, {}, {{"acme", calls}}};
    };
    FleetState state;
    REQUIRE(apply(state, 1, fix(100, 5)));

    SECTION("other counts for it, and an earlier window, change nothing")
    {
        CHECK_FALSE(apply(state, 2, fix(100, 6)));
        CHECK_FALSE(apply(state, 3, fix(99, 6)));
        CHECK(state.fixedUsage.at(100).counts == std::map<std::string, std::uint64_t>{{"acme", 5}});
    }
    SECTION("its report is acknowledged once")
    {
        CHECK(apply(state, 2, {CommandKind::UsageSent, 100, {}, {}}));
        CHECK_FALSE(apply(state, 3, {CommandKind::UsageSent, 100, {}, {}}));
        CHECK_FALSE(apply(state, 4, {CommandKind::UsageSent, 101, {}, {}}));
    }
    SECTION("the newest windows are kept, and one that is no longer kept can't be fixed again")
    {
        for (std::uint64_t window = 101; window < 140; ++window) {
            CHECK(apply(state, window, fix(window, 1)));
        }
        CHECK(state.fixedUsage.size() == 16);
        CHECK(state.fixedWindow == 139);
        CHECK_FALSE(apply(state, 200, fix(100, 6)));
    }
}

// Guards against a fencing number that two holders use.
TEST_CASE("Each holder of a duty has a higher fencing number")
{
    FleetState state;
    CHECK(apply(state, 4, {CommandKind::TakeDuty, 0, "usage", "core-1"}));
    CHECK(state.dutyHolders.at("usage") == DutyHolder{"core-1", 4, ""});
    CHECK_FALSE(apply(state, 5, {CommandKind::TakeDuty, 0, "usage", "core-1"}));
    CHECK(state.dutyHolders.at("usage") == DutyHolder{"core-1", 4, ""});
    CHECK(apply(state, 9, {CommandKind::TakeDuty, 0, "usage", "core-2"}));
    CHECK(state.dutyHolders.at("usage") == DutyHolder{"core-2", 9, "core-1"});
}

// Guards against state that a restart or a transfer loses or alters.
TEST_CASE("Commands and snapshots survive their encoding")
{
    const FleetCommand command{CommandKind::EvacuateDomain, 0, "north", {}};
    const auto decoded = decodeCommand(encodeCommand(command));
    REQUIRE(std::holds_alternative<FleetCommand>(decoded));
    CHECK(std::get<FleetCommand>(decoded).subject == "north");

    FleetState state;
    apply(state, 1, catalogOf(7, "text"));
    apply(state, 2, command);
    apply(state, 3, {CommandKind::NameAdapterVersion, 4, "m/a1", {}});
    apply(state, 4, {CommandKind::TakeOrders, 0, "core-1", {}, {0, 2}});
    apply(state, 5, {CommandKind::QuarantinePart, 0, "5c1e", {}});
    const FleetCommand fixing{CommandKind::FixUsage, 353'445'120, {}, {}, {}, {{"acme", 412}, {"umbra", 3}}};
    const auto decodedFixing = decodeCommand(encodeCommand(fixing));
    REQUIRE(std::holds_alternative<FleetCommand>(decodedFixing));
    CHECK(std::get<FleetCommand>(decodedFixing).counts == fixing.counts);
    apply(state, 6, {CommandKind::TakeDuty, 0, "usage", "core-1"});
    apply(state, 7, {CommandKind::TakeDuty, 0, "usage", "core-2"});
    apply(state, 8, std::get<FleetCommand>(decodedFixing));
    apply(state, 9, {CommandKind::UsageSent, 353'445'120, {}, {}});
    const auto bytes = encodeSnapshot(state);
    const auto restored = decodeSnapshot(bytes);
    REQUIRE(std::holds_alternative<FleetState>(restored));
    const auto &copy = std::get<FleetState>(restored);
    CHECK(copy.index == 9);
    CHECK(copy.dutyHolders == std::map<std::string, DutyHolder>{{"usage", {"core-2", 7, "core-1"}}});
    CHECK(copy.fixedUsage == std::map<std::uint64_t, FixedUsage>{{353'445'120, {fixing.counts, true}}});
    CHECK(copy.fixedWindow == 353'445'120);
    CHECK(copy.orderHolders == std::vector<OrderHolder>{{"core-1", 4}, {}, {"core-1", 4}});
    CHECK(copy.catalogVersion == 7);
    CHECK(*copy.catalogText == "text");
    CHECK(copy.evacuatedDomains == std::set<std::string>{"north"});
    CHECK(copy.quarantinedParts == std::map<std::string, control::LogIndex>{{"5c1e", 5}});
    CHECK(copy.adapterVersions == std::map<std::string, std::uint64_t>{{"m/a1", 4}});

    SECTION("cut bytes are refused")
    {
        CHECK(std::holds_alternative<FleetStateError>(decodeSnapshot(std::span(bytes).first(bytes.size() / 2))));
        CHECK(std::holds_alternative<FleetStateError>(decodeCommand({})));
    }
}
