#include "fleet.h"

#include <catch2/catch.hpp>

using namespace mimosahollow;
using namespace mimosahollow::serving;

namespace {

constexpr std::uint64_t systemPrompt = 1;
constexpr std::uint64_t fatalMessage = 2;
constexpr std::size_t entryOfDomainA = 0;
constexpr std::size_t entryOfDomainB = 2;

/** Starts with the adapter on the model servers of both failure domains, so that calls stay in that of their entry instance. */
void startWithAdapters(Fleet &fleet)
{
    fleet.resident["127.0.0.1:1"] = fleet.resident["127.0.0.1:3"] = {"greeting@1"};
    fleet.start();
}

/** A model call whose last message no other call has. */
RequestId callWith(Fleet &fleet, std::size_t entry, std::vector<std::uint64_t> sharedParts)
{
    static std::uint64_t ownMessage = 100;
    sharedParts.push_back(++ownMessage);
    fleet.promptParts = std::move(sharedParts);
    const RequestId id = fleet.callModel(entry, "base:greeting", 1, "greeting@1");
    fleet.advance(milliseconds(100));
    return id;
}

/** Whether a call with the fatal message reached a server, which ended. */
bool endsServer(Fleet &fleet, std::size_t entry)
{
    const RequestId id = callWith(fleet, entry, {systemPrompt, fatalMessage});
    if (!fleet.running(id)) {
        return false;
    }
    fleet.endServerOf(id);
    fleet.advance(seconds(2));
    return true;
}

bool isServed(Fleet &fleet, std::size_t entry)
{
    const RequestId id = callWith(fleet, entry, {systemPrompt});
    const bool isRunning = fleet.running(id);
    fleet.finish(id, Fleet::Outcome::Completed);
    return isRunning;
}

} // namespace

// Guards against owners that wait for five ends of their own servers each, while the message ends servers in every failure domain.
TEST_CASE("A message that ends servers in several failure domains is refused everywhere after five ends")
{
    Fleet fleet;
    startWithAdapters(fleet);
    unsigned ends = 0;
    for (unsigned round = 0; round < 5; ++round) {
        for (const std::size_t entry : {entryOfDomainA, entryOfDomainB}) {
            REQUIRE(isServed(fleet, entry));
            ends += endsServer(fleet, entry) ? 1 : 0;
        }
    }
    CHECK(ends <= 5);
    REQUIRE((fleet.incarnations[0] > 1 && fleet.incarnations[2] > 1)); // servers ended in both failure domains
    for (const std::size_t entry : {entryOfDomainA, entryOfDomainB}) {
        CHECK(isServed(fleet, entry)); // the system prompt is shared with the refused calls
        CHECK(fleet.refused(callWith(fleet, entry, {systemPrompt, fatalMessage})) == RefusalReason::PromptQuarantined);
    }
    SECTION("a new owner learns the ends from the other owners")
    {
        fleet.assign(1, 2);
        fleet.advance(seconds(4));
        CHECK(fleet.refused(callWith(fleet, entryOfDomainA, {systemPrompt, fatalMessage})) == RefusalReason::PromptQuarantined);
        CHECK(isServed(fleet, entryOfDomainA));
    }
    SECTION("a quarantine that has ended does not return for ends from before")
    {
        fleet.advance(seconds(610));
        for (const std::size_t entry : {entryOfDomainA, entryOfDomainB}) {
            const RequestId id = callWith(fleet, entry, {systemPrompt, fatalMessage});
            CHECK(fleet.running(id));
            fleet.finish(id, Fleet::Outcome::Completed);
        }
    }
    CHECK(fleet.violations.empty());
}

// Guards against a quarantine in one failure domain of a message that is answered soundly in the other one.
TEST_CASE("A sound answer in another failure domain acquits a message")
{
    Fleet fleet;
    startWithAdapters(fleet);
    for (unsigned round = 0; round < 4; ++round) {
        CHECK(endsServer(fleet, entryOfDomainA));
        const RequestId id = callWith(fleet, entryOfDomainB, {systemPrompt, fatalMessage});
        REQUIRE(fleet.running(id));
        fleet.finish(id, Fleet::Outcome::Completed);
        fleet.advance(milliseconds(300));
    }
    CHECK(fleet.violations.empty());
}
