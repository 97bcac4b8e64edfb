#include "entryfixture.h"

using namespace mimosahollow;
using namespace mimosahollow::ingress;

// Load pattern: callers that send their next call as soon as one is answered. Guards against a waiting call whose place they take each time that one
// gets free, until it is refused.
TEST_CASE("A waiting call is not overtaken by calls that arrive later")
{
    constexpr unsigned floodingCallers = 40;
    constexpr unsigned callsOfEach = 30;
    EntryFixture fixture;
    unsigned arrived = 0;
    std::optional<unsigned> waitingCallArrived;
    fixture.script = [&](const ConnectionPointer &connection, const std::string &head) {
        ++arrived;
        const std::size_t id = head.find("Call-Id: ") + 9;
        if (head.find("/once/waiting") != std::string::npos) {
            waitingCallArrived = arrived;
        }
        connection->write(EntryFixture::response(head.substr(id, head.find("\r\n", id) - id), "done"));
    };
    std::vector<ConnectionPointer> flood;
    for (unsigned caller = 0; caller < floodingCallers; ++caller) {
        flood.push_back(fixture.connect());
    }
    for (unsigned caller = 0; caller < floodingCallers; ++caller) {
        std::string calls;
        for (unsigned call = 0; call < callsOfEach; ++call) {
            calls += EntryFixture::request("/once/x", "f" + std::to_string(caller) + "-" + std::to_string(call));
        }
        flood[caller]->write(calls);
    }
    REQUIRE(fixture.runUntil([&] {
        return arrived >= 300;
    }));
    const ConnectionPointer caller = fixture.connect();
    caller->write(EntryFixture::request("/once/waiting", "w"));
    const unsigned before = arrived;
    REQUIRE(fixture.runUntil([&] {
        return waitingCallArrived.has_value() || !caller->received.empty();
    }));
    REQUIRE(waitingCallArrived);
    // All of the flood may be ahead of it once when it arrives, and once more until its request has been read.
    CHECK(*waitingCallArrived - before <= 2 * floodingCallers + 20);
}
