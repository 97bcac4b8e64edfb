#include "entryfixture.h"

#include "ingress/explaincall.h"

#include <boost/json/parse.hpp>

using namespace mimosahollow;
using namespace mimosahollow::ingress;

// Guards against an explanation that sends the call, and against one of a call that would not be sent at all.
TEST_CASE("An entry instance explains where a call would go, and sends nothing")
{
    EntryFixture fixture;
    const boost::json::value answer = boost::json::parse(explainCall(*fixture.entry, {"host", "/twice/x", {}, {}, {}, 0}));
    CHECK(answer.at("route").as_string() == "twice");
    CHECK(answer.at("has-leader").as_bool());
    const boost::json::value &service = answer.at("services").at(0);
    CHECK(service.at("service").as_string() == "rest");
    CHECK(service.at("decision").as_string() == "send");
    CHECK(service.at("servers").at(0).at("chance").as_double() == 1);
    fixture.runFor(milliseconds(50));
    CHECK(fixture.connections.empty());

    SECTION("a call without a route is refused")
    {
        const boost::json::value refused = boost::json::parse(explainCall(*fixture.entry, {"host", "/elsewhere/x", {}, {}, {}, 0}));
        CHECK(refused.at("status").as_int64() == 404);
    }
    SECTION("and so is one without a server")
    {
        fixture.announce(registry::ServerState::Draining, 2);
        REQUIRE(fixture.runUntil([&fixture] {
            return fixture.entry->dispatchState().servers.at("s1").record.state == registry::ServerState::Draining;
        }));
        const boost::json::value waits = boost::json::parse(explainCall(*fixture.entry, {"host", "/twice/x", {}, {}, {}, 0}));
        CHECK(waits.at("services").at(0).at("decision").as_string() == "wait");
        CHECK(waits.at("services").at(0).at("servers").at(0).at("excluded-by").as_string() == "not-ready");
    }
}
