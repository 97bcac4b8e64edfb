#include "mimosahollow/registry/serverregistry.h"

#include <catch2/catch.hpp>

using namespace mimosahollow;
using namespace mimosahollow::registry;

namespace {

ServerRecord record(std::string id, std::uint64_t born, std::uint64_t sequence, ServerState state = ServerState::Ready)
{
    ServerRecord made;
    made.id = std::move(id);
    made.service = "chat";
    made.address = "10.0.0.1:80";
    made.born = born;
    made.sequence = sequence;
    made.state = state;
    return made;
}

} // namespace

// Guards against calls to backend servers that have left, or to an address that another one has taken over.
TEST_CASE("Announcements arrive late, twice and from the past")
{
    const TimePoint start{};
    ServerRegistry registry;
    REQUIRE(merge(registry, record("one", 100, 5), start) == MergeOutcome::Changed);

    SECTION("an older announcement of the same incarnation is dropped")
    {
        CHECK(merge(registry, record("one", 100, 4), start) == MergeOutcome::Stale);
    }
    SECTION("a newer one without news only refreshes")
    {
        CHECK(merge(registry, record("one", 100, 6), start) == MergeOutcome::Refreshed);
    }
    SECTION("an announcement from before the departure does not bring the server back")
    {
        REQUIRE(remove(registry, "one", start));
        CHECK(merge(registry, record("one", 100, 9), start) == MergeOutcome::Stale);
        CHECK(registry.entries.at("one").record.state == ServerState::Gone);
    }
    SECTION("a restart under the same id does")
    {
        REQUIRE(remove(registry, "one", start));
        CHECK(merge(registry, record("one", 200, 1), start) == MergeOutcome::Changed);
    }
    SECTION("a younger holder of the address ends the earlier one, whose late announcement changes nothing")
    {
        REQUIRE(merge(registry, record("two", 200, 1), start) == MergeOutcome::Changed);
        CHECK(registry.entries.at("one").record.state == ServerState::Gone);
        CHECK(merge(registry, record("one", 100, 6), start) == MergeOutcome::Stale);
        CHECK(registry.entries.at("two").record.state == ServerState::Ready);
    }
    SECTION("a server that has moved does not lose its new address to the next holder of the old one")
    {
        ServerRecord moved = record("one", 150, 1);
        moved.address = "10.0.0.2:80";
        REQUIRE(merge(registry, moved, start) == MergeOutcome::Changed);
        CHECK(merge(registry, record("two", 200, 1), start) == MergeOutcome::Changed);
        CHECK(registry.entries.at("one").record.state == ServerState::Ready);
        CHECK(merge(registry, record("three", 50, 1), start) == MergeOutcome::Stale);
    }
    SECTION("forgotten servers take no memory for their addresses")
    {
        const TimePoint gone = start + registry.options.silenceLimit + milliseconds(1);
        CHECK(expire(registry, gone).size() == 1);
        CHECK(expire(registry, gone + registry.options.tombstoneAge).empty());
        CHECK(registry.entries.empty());
        CHECK(registry.addresses.empty());
    }
    SECTION("silence makes it gone, and a new announcement ready again")
    {
        const TimePoint later = start + registry.options.silenceLimit + milliseconds(1);
        CHECK(expire(registry, later).size() == 1);
        CHECK(merge(registry, record("one", 100, 6), later) == MergeOutcome::Changed);
    }
}
