#include "entryfixture.h"

#include "httpio/serverload.h"

using namespace mimosahollow;
using namespace mimosahollow::ingress;

namespace {

std::string eventChunk(unsigned id)
{
    const std::string event = "id: " + std::to_string(id) + "\ndata: x\n\n";
    constexpr std::string_view digits = "0123456789abcdef";
    return std::string(1, digits.at(event.size() / 16)) + digits.at(event.size() % 16) + "\r\n" + event + "\r\n";
}

/** The fixture's service with a base model, so that it is measured by its streams. */
catalog::Catalog engineCatalog()
{
    catalog::Catalog catalog = EntryFixture::defaultCatalog();
    catalog::EngineSpec engine;
    engine.models = {{"base", 1000, 10, seconds(2)}};
    engine.memoryMb = 2000;
    catalog.services = {{"rest", 0, 0, engine}};
    return catalog;
}

unsigned sampleCount(const EntryFixture &fixture)
{
    unsigned count = 0;
    for (const fleetlink::ServerPaceSample &sample : fixture.paces) {
        count += sample.serverKey == registry::serverKey("s1") ? sample.count : 0;
    }
    return count;
}

} // namespace

// Guards against a leader that learns nothing of slow servers, or the times of answers that tell nothing.
TEST_CASE("An entry instance reports the pace of its backend servers")
{
    SECTION("the intervals between the events of a stream, before it ends")
    {
        EntryFixture fixture(engineCatalog());
        fixture.held = {{"base", {}, 1}};
        fixture.announce(registry::ServerState::Ready, 2);
        fixture.runFor(milliseconds(50));
        const auto caller = fixture.connect();
        fixture.script = [](const ConnectionPointer &connection, const std::string &) {
            connection->write("HTTP/1.1 200 OK\r\nSignature: s\r\nCall-Id: c1\r\nTransfer-Encoding: chunked\r\n\r\n" + eventChunk(1));
        };
        caller->write(EntryFixture::request("/stream/x", "c1", "Model: base\r\n"));
        REQUIRE(fixture.runUntil([&caller] {
            return caller->received.find("id: 1") != std::string::npos;
        }));
        fixture.runFor(milliseconds(60));
        fixture.connections.back()->write(eventChunk(2));
        fixture.runFor(milliseconds(400));
        CHECK(sampleCount(fixture) == 0);
        fixture.connections.back()->write(eventChunk(3));
        REQUIRE(fixture.runUntil([&fixture] {
            return sampleCount(fixture) == 2;
        }));
        CHECK(fixture.paces.back().milliseconds >= 400);
    }
    SECTION("the time to the answer of a plain call, if it is a success")
    {
        EntryFixture fixture;
        const auto caller = fixture.connect();
        std::string answer = "HTTP/1.1 500 Error\r\nSignature: s\r\nCall-Id: c1\r\nContent-Length: 0\r\n\r\n";
        fixture.script = [&answer](const ConnectionPointer &connection, const std::string &) {
            connection->write(answer);
        };
        fixture.call(caller, EntryFixture::request("/once/x", "c1"), "}\n", milliseconds(700));
        CHECK(sampleCount(fixture) == 0);
        answer = EntryFixture::response("c2", "done");
        CHECK(fixture.call(caller, EntryFixture::request("/once/x", "c2"), "done").ends_with("done"));
        CHECK(fixture.runUntil([&fixture] {
            return sampleCount(fixture) == 1;
        }));
    }
}

// Guards against a figure that is read in two ways, and against one that stays awaited after its call.
TEST_CASE("An answer states the load of its backend server")
{
    EntryFixture fixture;
    const auto caller = fixture.connect();
    std::string headers = "Load: 3, 2, 8, 250\r\n";
    fixture.script = [&headers](const ConnectionPointer &connection, const std::string &) {
        connection->write(EntryFixture::response("c1", "done", headers));
    };
    const auto call = [&] {
        return fixture.call(caller, EntryFixture::request("/once/x", "c1"), "done");
    };
    REQUIRE(call().ends_with("done"));
    const serverpace::LocalPace &local = fixture.entry->dispatchState().servers.at("s1").localPace;
    CHECK(local.stated.waiting == 2);
    CHECK(local.stated.pace == 2.5);
    CHECK(local.awaited.empty());
    CHECK_FALSE(local.isProblemLogged);
    const TimePoint statedAt = local.statedAt;

    SECTION("malformed, repeated and missing ones change nothing and are logged")
    {
        headers = GENERATE("Load: soon\r\n", "Load: 1,9,8\r\nLoad: 1,9,8\r\n", "");
        REQUIRE(call().ends_with("done"));
        CHECK(local.stated.waiting == 2);
        CHECK(local.statedAt == statedAt);
        CHECK(local.isProblemLogged);
    }
}

TEST_CASE("A stated load has one reading")
{
    const auto load = httpio::parseServerLoad("11,0,12");
    REQUIRE(load);
    CHECK(load->running == 11);
    CHECK(load->waiting == 0);
    CHECK(load->slots == 12);
    CHECK_FALSE(load->pace);
    CHECK(httpio::parseServerLoad(" 1 ,\t2, 3 , 87.5 ")->pace == 0.875);
    for (const char *text : {"",
                             ",",
                             "1,2",
                             "1,2,3,",
                             "1,2,0",
                             "1,2,3,0",
                             "1,2,3,-5",
                             "1,2,3,nan",
                             "1,2,3,1e9",
                             "1,2,3,4,5",
                             "-1,2,3",
                             "1,2,99999999",
                             "a,b,c",
                             "1;2;3",
                             "+1,2,3",
                             "0x1,2,3",
                             "1,2,3,4 5"}) {
        CAPTURE(text);
        CHECK_FALSE(httpio::parseServerLoad(text));
    }
    CHECK_FALSE(httpio::parseServerLoad("1,2,3," + std::string(100, '1')));
}
