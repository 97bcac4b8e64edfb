#include "entryfixture.h"

using namespace mimosahollow;
using namespace mimosahollow::ingress;

// Guards against calls that run without a valid key once the last organisation has been taken away.
TEST_CASE("A catalog without organisations admits no call to a route that needs a key")
{
    catalog::Catalog catalog = EntryFixture::defaultCatalog();
    catalog.routes[0].isOpen = false;
    unsigned runs = 0;
    const auto answerTo = [&runs](const catalog::Catalog &content, const std::string &path, const std::string &headers) {
        EntryFixture fixture(content);
        fixture.script = [&runs](const ConnectionPointer &connection, const std::string &) {
            ++runs;
            connection->write(EntryFixture::response("c1", "done"));
        };
        return fixture.call(fixture.connect(), EntryFixture::request(path, "c1", headers), "}\n", milliseconds(300));
    };
    SECTION("with the key that was taken away, or without one")
    {
        CHECK(answerTo(catalog, "/once/x", "Authorization: Bearer key\r\n").starts_with("HTTP/1.1 401 "));
        CHECK(answerTo(catalog, "/once/x", "").starts_with("HTTP/1.1 401 "));
        CHECK(runs == 0);
    }
    SECTION("but those to open routes")
    {
        CHECK(answerTo(catalog, "/twice/x", "").ends_with("done"));
    }
    SECTION("but all if the configuration uses no keys")
    {
        catalog.isKeyless = true;
        CHECK(answerTo(catalog, "/once/x", "").ends_with("done"));
    }
}
