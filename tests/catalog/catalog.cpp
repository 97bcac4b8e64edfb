#include "mimosahollow/catalog/catalogindex.h"

#include <catch2/catch.hpp>

using namespace mimosahollow;
using namespace mimosahollow::catalog;

namespace {

CallRoute route(std::string name, std::string prefix)
{
    CallRoute made;
    made.name = std::move(name);
    made.host = "one.example";
    made.pathPrefix = std::move(prefix);
    made.timeout = seconds(1);
    made.split = {{"chat", 1}};
    return made;
}

Catalog validCatalog()
{
    Catalog catalog;
    catalog.version = 1;
    catalog.services = {{"chat", 10, 0, std::nullopt}};
    catalog.routes = {route("short", "/a/"), route("long", "/a/b/")};
    catalog.organisations = {{"one", {"key-1"}, 0, true, 1, 10, 10}, {"two", {"key-2"}, 0, true, 1, 10, 10}};
    return catalog;
}

} // namespace

// Guards against a configuration that would send calls to the wrong service, or to none, coming into force.
TEST_CASE("An invalid catalog is named as such")
{
    Catalog catalog = validCatalog();
    REQUIRE(findProblem(catalog).empty());

    SECTION("a route to a service that does not exist")
    {
        catalog.routes[0].split = {{"unknown", 1}};
        CHECK_FALSE(findProblem(catalog).empty());
    }
    SECTION("two routes for the same calls")
    {
        catalog.routes[1].pathPrefix = "/a/";
        CHECK_FALSE(findProblem(catalog).empty());
    }
    SECTION("weights that add up to nothing")
    {
        catalog.routes[0].split = {{"chat", 0}, {"chat", 0}};
        CHECK_FALSE(findProblem(catalog).empty());
    }
    SECTION("a timeout of zero")
    {
        catalog.routes[0].timeout = Duration{};
        CHECK_FALSE(findProblem(catalog).empty());
    }
    SECTION("bounds on the number of servers that exclude each other")
    {
        catalog.services[0].scaling = {39, 94, seconds(8)};
        CHECK(findProblem(catalog).empty());
        catalog.services[0].scaling = {95, 94, seconds(8)};
        CHECK_FALSE(findProblem(catalog).empty());
        catalog.services[0].scaling = {0, 0, seconds(8)};
        CHECK_FALSE(findProblem(catalog).empty());
    }
    SECTION("a boot time that is negative, or longer than any server boots")
    {
        catalog.services[0].scaling = {39, 94, seconds(-1)};
        CHECK_FALSE(findProblem(catalog).empty());
        catalog.services[0].scaling = {39, 94, std::chrono::hours(2)};
        CHECK_FALSE(findProblem(catalog).empty());
    }
    SECTION("a key that two organisations hold")
    {
        catalog.organisations[1].keys = {"key-1"};
        CHECK_FALSE(findProblem(catalog).empty());
    }
}

// Guards against calls that take the route of a shorter prefix, or of another host.
TEST_CASE("Calls find their route and their organisation")
{
    const CatalogIndex index(std::make_shared<const Catalog>(validCatalog()));

    SECTION("the longest prefix wins")
    {
        CHECK(index.findRoute("one.example", "/a/b/c")->name == "long");
        CHECK(index.findRoute("one.example", "/a/c")->name == "short");
    }
    SECTION("a prefix ends at a slash")
    {
        CHECK(index.findRoute("one.example", "/ab") == nullptr);
        CHECK(index.findRoute("two.example", "/a/b/c") == nullptr);
    }
    SECTION("a key names its holder only")
    {
        CHECK(index.findOrganisation("key-2")->name == "two");
        CHECK(index.findOrganisation("key-3") == nullptr);
        CHECK(index.findOrganisation("") == nullptr);
    }
}
