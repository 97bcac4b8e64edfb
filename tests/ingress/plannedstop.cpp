#include "entryfixture.h"

using namespace mimosahollow;
using namespace mimosahollow::ingress;

// Guards against requests that were accepted just before the end of a planned stop and cut off without an answer.
TEST_CASE("During a planned stop, each request that has arrived gets its answer")
{
    EntryFixture fixture;
    fixture.script = [](const ConnectionPointer &connection, const std::string &) {
        connection->write(EntryFixture::response("c1", "done"));
    };
    bool isStopped = false;
    SECTION("a request that comes late in the grace, on a connection that is kept open, is refused at once and reaches no backend server")
    {
        const auto caller = fixture.connect();
        REQUIRE(fixture.call(caller, EntryFixture::request("/once/x", "c1"), "done").ends_with("done"));
        unsigned passedOn = 0;
        fixture.script = [&passedOn](const ConnectionPointer &, const std::string &) {
            ++passedOn;
        };
        fixture.entry->stop([&isStopped] {
            isStopped = true;
        });
        fixture.runFor(milliseconds(200)); // beyond the lame-duck period
        const std::string answer = fixture.call(caller, EntryFixture::request("/once/x", "c1"), "}\n");
        CHECK(answer.starts_with("HTTP/1.1 503 "));
        CHECK(answer.find("Retry-After: ") != std::string::npos);
        CHECK(passedOn == 0);
        CHECK(fixture.runUntil([&isStopped] {
            return isStopped;
        }));
    }
    SECTION("a connection without a request is closed, and the instance stops")
    {
        const auto caller = fixture.connect();
        fixture.runFor(milliseconds(50));
        fixture.entry->stop([&isStopped] {
            isStopped = true;
        });
        CHECK(fixture.runUntil([&] {
            return isStopped && caller->isBroken;
        }));
    }
    SECTION("a request whose head is half read when the idle connections are closed")
    {
        const auto caller = fixture.connect();
        fixture.entry->stop([&isStopped] {
            isStopped = true;
        });
        const std::string request = EntryFixture::request("/once/x", "c1");
        caller->write(request.substr(0, 20));
        fixture.runFor(milliseconds(250)); // beyond the lame-duck period
        CHECK_FALSE(caller->isBroken);
        CHECK(fixture.call(caller, request.substr(20), "}\n").find("HTTP/1.1 503 ") == 0);
        CHECK(fixture.runUntil([&isStopped] {
            return isStopped;
        }));
    }
    SECTION("a request on a connection that was opened just before the idle connections are closed")
    {
        fixture.entry->stop([&isStopped] {
            isStopped = true;
        });
        fixture.runFor(milliseconds(140));
        const auto caller = fixture.connect();
        fixture.runFor(milliseconds(30));
        CHECK_FALSE(caller->isBroken);
        CHECK(fixture.call(caller, EntryFixture::request("/once/x", "c1"), "}\n").find("HTTP/1.1 503 ") == 0);
        CHECK(fixture.runUntil([&isStopped] {
            return isStopped;
        }));
    }
    SECTION("a request that runs when the stop begins")
    {
        const auto caller = fixture.connect();
        ConnectionPointer running;
        fixture.script = [&running](const ConnectionPointer &connection, const std::string &) {
            running = connection;
        };
        caller->write(EntryFixture::request("/once/x", "c1"));
        REQUIRE(fixture.runUntil([&running] {
            return running != nullptr;
        }));
        fixture.entry->stop([&isStopped] {
            isStopped = true;
        });
        fixture.runFor(milliseconds(300));
        CHECK_FALSE(isStopped);
        running->write(EntryFixture::response("c1", "done"));
        CHECK(fixture.runUntil([&caller] {
            return caller->received.ends_with("done");
        }));
        CHECK(fixture.runUntil([&isStopped] {
            return isStopped;
        }));
    }
}
