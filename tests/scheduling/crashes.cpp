#include "poolfixture.h"

#include "mimosahollow/quarantine/requestname.h"

#include <catch2/catch.hpp>

using namespace mimosahollow;
using namespace mimosahollow::scheduling;
using namespace mimosahollow::scheduling::testing;

namespace {

constexpr std::uint64_t systemPrompt = 1;
constexpr std::uint64_t fatalMessage = 2;

/** Six servers that announce themselves; each process of them has a new incarnation. */
struct CrashingPool : PoolFixture
{
    CrashingPool() : PoolFixture(serverCount), incarnations(serverCount, 1)
    {
    }

    /** Lets @p time pass while all servers announce themselves, since silent ones get no calls. */
    void pass(Duration time)
    {
        advance(time);
        for (std::uint32_t server = 1; server <= serverCount; ++server) {
            announce(server, incarnations[server - 1]);
        }
    }

    static constexpr std::uint32_t serverCount = 6;
    std::vector<std::uint64_t> incarnations;
};

/** Runs one request; the server that gets it ends and comes back. Returns whether the request was granted. */
bool endsServer(CrashingPool &fixture)
{
    static std::uint64_t ownMessage = 100;
    fixture.promptParts = {systemPrompt, fatalMessage, ++ownMessage};
    fixture.submitRequest(0);
    const auto granted = fixture.only<Grant>();
    if (!granted) {
        return false;
    }
    fixture.pass(milliseconds(100));
    fixture.returnGrant(*granted, ReleaseOutcome::ConnectionReset, Duration{});
    fixture.pass(seconds(1));
    ++fixture.incarnations[number(granted->server) - 1];
    fixture.pass(seconds(1));
    return true;
}

void runSoundly(CrashingPool &fixture)
{
    static std::uint64_t ownMessage = 10'000;
    fixture.promptParts = {systemPrompt, ++ownMessage};
    fixture.submitRequest(0);
    const auto granted = fixture.only<Grant>();
    REQUIRE(granted);
    fixture.pass(milliseconds(200));
    fixture.returnGrant(*granted);
}

} // namespace

// Guards against a message that ends one server of the pool after the other, through retries of its calls and through other entry instances.
TEST_CASE("A message under which several servers have ended is refused at once")
{
    CrashingPool fixture;
    unsigned ends = 0;
    for (unsigned call = 0; call < 10; ++call) {
        runSoundly(fixture);
        ends += endsServer(fixture) ? 1 : 0;
    }
    CHECK(ends <= 5);
    runSoundly(fixture); // calls that share the system prompt are served
    fixture.promptParts = {systemPrompt, fatalMessage, 7};
    fixture.submitRequest(0);
    const auto refused = fixture.only<Refusal>();
    REQUIRE(refused);
    CHECK(refused->reason == RefusalReason::PromptQuarantined);
    CHECK(refused->retryAfter > seconds(1));
}

// Guards against a quarantine by connections that are reset while the server process lives on, and by restarts under sound calls.
TEST_CASE("Resets without an end, and ends under other calls, quarantine nothing")
{
    CrashingPool fixture;
    for (unsigned call = 0; call < 10; ++call) {
        fixture.promptParts = {systemPrompt, fatalMessage};
        fixture.submitRequest(0);
        const auto granted = fixture.only<Grant>();
        REQUIRE(granted);
        fixture.returnGrant(*granted, ReleaseOutcome::ConnectionReset, Duration{});
        fixture.pass(seconds(1));
    }
    for (std::uint64_t &incarnation : fixture.incarnations) {
        ++incarnation;
    }
    fixture.pass(seconds(1));
    fixture.pass(seconds(1));
    runSoundly(fixture);
    fixture.promptParts = {systemPrompt, fatalMessage};
    fixture.submitRequest(0);
    CHECK(fixture.only<Grant>());
}

// Guards against one request that comes again and again and ends server after server, and against the refusal of sound ones with the same messages.
TEST_CASE("A whole request under which three servers have ended is refused at once, its messages are not")
{
    CrashingPool fixture;
    constexpr std::uint64_t deadly = quarantine::requestHashBit | 5;
    constexpr std::uint64_t ofAnotherOrganisation = quarantine::requestHashBit | 6;
    const std::vector<std::uint64_t> messages = GENERATE(std::vector<std::uint64_t>{}, std::vector<std::uint64_t>{systemPrompt, 77});
    unsigned ends = 0;
    for (unsigned call = 0; call < 8; ++call) {
        fixture.promptParts = messages;
        fixture.promptParts.push_back(deadly);
        fixture.submitRequest(0);
        const auto granted = fixture.only<Grant>();
        if (!granted) {
            continue;
        }
        ++ends;
        fixture.pass(milliseconds(100));
        fixture.returnGrant(*granted, ReleaseOutcome::ConnectionReset, Duration{});
        fixture.pass(seconds(1));
        ++fixture.incarnations[number(granted->server) - 1];
        fixture.pass(seconds(1));
        fixture.pass(milliseconds(200)); // the owner hears of the new process, and decides after that
    }
    CHECK(ends == 3);
    fixture.promptParts = messages;
    fixture.promptParts.push_back(ofAnotherOrganisation);
    fixture.submitRequest(0);
    CHECK(fixture.only<Grant>());
}
