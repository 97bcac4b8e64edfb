#include "gateway/backendmessages.h"

#include <catch2/catch.hpp>

#include <string>

using namespace mimosahollow;
using namespace mimosahollow::gateway;

// Guards against an odd announcement that ends the instance that reads it, or that stands for a backend server that can't be called.
TEST_CASE("An announcement to the gateway with values that no backend server can mean is dropped")
{
    const std::string text =
        R"({"name":"s1","address":"10.0.0.9:80","failure_domain":"a","kind":"chat","incarnation":1,"slots":64,"adapter_slots":8,"cold_limit":2})";
    const auto isDropped = [&text](std::string_view from, const std::string &to) {
        std::string copy = text;
        const std::size_t at = copy.find(from);
        REQUIRE(at != std::string::npos);
        copy.replace(at, from.size(), to);
        return !parseAnnouncement(copy).has_value();
    };
    REQUIRE(parseAnnouncement(text));
    SECTION("nested deeply")
    {
        const std::string nested = std::string(100'000, '[') + std::string(100'000, ']');
        CHECK(isDropped("\"slots\":64", "\"slots\":64,\"adapters\":" + nested));
        CHECK_FALSE(parseReport(nested));
    }
    SECTION("with a port out of range, or without an address")
    {
        for (const char *address : {"10.0.0.9:65536", "10.0.0.9:0", "10.0.0.9:-1", "10.0.0.9", "front:80", ":"}) {
            CHECK(isDropped("10.0.0.9:80", address));
        }
    }
    SECTION("with a number too large")
    {
        CHECK(isDropped("\"slots\":64", "\"slots\":4294967360"));
        CHECK(isDropped("\"slots\":64", "\"slots\":1e300"));
        CHECK(isDropped("\"incarnation\":1", "\"incarnation\":18446744073709551616"));
    }
}
