#include "crowd.h"
#include "entryfleet.h"

#include <catch2/catch.hpp>

using namespace mimosahollow::tests;

namespace {

constexpr std::size_t callers = 40;
constexpr std::size_t kilobytes = std::size_t{EntryFleet::memoryMegabytes} * 1024;

/** Whether an ordinary call is answered; the instance may refuse calls while it sheds hostile ones. */
bool awaitService(const EntryFleet &fleet)
{
    return waitFor([&fleet] {
        return fleet.isServing();
    });
}

} // namespace

// Guards against an entry instance that runs out of memory, ends or serves nobody else while callers send without end.
TEST_CASE("An entry instance survives callers that send without end")
{
    const HostileInput input = GENERATE(from_range(hostileInputs("/rest/x", 4'194'304)));
    DYNAMIC_SECTION(input.name)
    {
        EntryFleet fleet;
        Crowd crowd(fleet.callerAddress, callers);
        crowd.send(input.opening, input.repeated, input.bytesEach);
        CHECK(awaitService(fleet));
        INFO("peak " << peakKilobytes(fleet.entry->id()) << " KiB");
        CHECK(staysBelow(fleet.entry->id(), kilobytes));
        CHECK(fleet.entry->end() == 0);
    }
}

// Guards against an entry instance whose descriptors are used up, so that it can neither accept callers nor reach backend servers.
TEST_CASE("An entry instance keeps descriptors free when callers hold connections")
{
    const std::string opening = GENERATE("", "POST /rest/x HT", "POST /rest/x HTTP/1.1\r\nHost: test\r\nContent-Length: 9\r\n\r\n");
    DYNAMIC_SECTION("after sending " << opening.size() << " bytes")
    {
        EntryFleet fleet;
        Crowd crowd(fleet.callerAddress, EntryFleet::descriptors + 40);
        crowd.send(opening, "", opening.size());
        CHECK(awaitService(fleet)); // its connection is accepted after all of the crowd
        CHECK(openDescriptors(fleet.entry->id()) <= EntryFleet::descriptors);
        CHECK(staysBelow(fleet.entry->id(), kilobytes));
    }
}

// Guards against limits that refuse a call within the limits of the configuration.
TEST_CASE("An entry instance serves calls up to the limits of the configuration")
{
    const EntryFleet fleet;
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    CHECK(HttpClient(fleet.callerAddress).call(request("POST", "/rest/x", std::string(4'194'304, 'x'))).status == 200);
    CHECK(HttpClient(fleet.callerAddress).call(request("POST", "/rest/x", "body", "Header: " + std::string(16'000, 'x') + "\r\n")).status == 200);
    const std::string trailer = "4\r\nbody\r\n0\r\nTrailer: " + std::string(16'000, 'x') + "\r\n\r\n";
    CHECK(HttpClient(fleet.callerAddress).call(request("POST", "/rest/x", {}, chunked) + trailer).status == 200);
    std::string bytes;
    for (int i = 0; i < 100'000; ++i) {
        bytes += "1\r\nx\r\n";
    }
    CHECK(HttpClient(fleet.callerAddress).call(request("POST", "/rest/x", {}, chunked) + bytes + "0\r\n\r\n").status == 200);
}
