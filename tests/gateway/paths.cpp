#include "gateway/servicepath.h"
#include "support/property.h"

#include <catch2/catch.hpp>

using mimosahollow::gateway::normalisePath;

// Guards against a path that matches one route at the gateway and another path at the backend server.
TEST_CASE("A path is normalised")
{
    SECTION("to the one form that is matched and forwarded")
    {
        REQUIRE(normalisePath("/registry/entries?key=1#x") == "/registry/entries");
        REQUIRE(normalisePath("/registry//entries/./a") == "/registry/entries/a");
        REQUIRE(normalisePath("/registry/a/../b/") == "/registry/b/");
        REQUIRE(normalisePath("/registry/a/..") == "/registry/");
        REQUIRE(normalisePath("/registry/%61%2d%2e%2Fb") == std::nullopt);
        REQUIRE(normalisePath("/registry/%61%20%c3%a4") == "/registry/a%20%C3%A4");
        REQUIRE(normalisePath("http://other/registry/a") == "/registry/a");
        REQUIRE(normalisePath("http://other") == "/");
    }

    SECTION("so that it cannot leave its prefix")
    {
        REQUIRE(normalisePath("/registry/../ledger/a") == "/ledger/a");
        REQUIRE(normalisePath("/registry/%2e%2e/ledger/a") == "/ledger/a");
        REQUIRE(normalisePath("/registry/.%2E/../a") == std::nullopt);
        for (const char *path : {"/registry/%252e%252e/a",
                                 "/registry/..%2fledger",
                                 "/registry/..%5cledger",
                                 "/registry/..\\ledger",
                                 "/registry/..;x/ledger",
                                 "/registry/%00",
                                 "/registry/%0d%0a",
                                 "/registry/%",
                                 "/registry/%4",
                                 "/registry/%zz",
                                 "registry",
                                 "*",
                                 ""}) {
            INFO(path);
            REQUIRE(normalisePath(path) == std::nullopt);
        }
    }

    SECTION("and normalising twice changes nothing, whatever the text")
    {
        const bool holds = mimosahollow::tests::holdsForSeed("normalising twice changes nothing", 20261204, [] {
            const auto parts = *rc::gen::container<std::vector<std::string>>(
                rc::gen::element<std::string>("/", ".", "..", "%2e", "%2F", "%25", "%32", "2e", "a", ";", "//", "%c3%a4", "\\", "?", "#"));
            std::string text = "/";
            for (const std::string &part : parts) {
                text += part;
            }
            const auto once = normalisePath(text);
            if (once) {
                RC_ASSERT(normalisePath(*once) == once);
                RC_ASSERT(once->find("/../") == std::string::npos);
                RC_ASSERT(once->find("//") == std::string::npos);
            }
        });
        REQUIRE(holds);
    }
}
