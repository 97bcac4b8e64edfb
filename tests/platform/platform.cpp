#include "platform/bootsettings.h"
#include "platform/catalogjson.h"
#include "platform/serverjson.h"

#include <catch2/catch.hpp>

using namespace mimosahollow;
using namespace mimosahollow::platform;

namespace {

constexpr const char *configText = R"({"version":7,"routes":[{"name":"r1","host":"one.example","path-prefix":"/a/",
"route-type":"streaming","timeout-ms":12000,"target-latency-ms":600,"priority":1,
"traffic-split":[{"service":"chat","weight":90},{"service":"rest","weight":10}],"max-attempts":2,"public":false,"resumable":true}],
"services":[{"name":"chat","max-connections":360,"cold-per-s":20.0,"engine":{"slots":64,"models":[{"name":"base","weights-mb":72700.0,
"load-s":2.1,"adapter-mb":66.0}],"weights-mb":75800.0,"adapter-slots":24,"loads-per-s":3.9}},{"name":"rest","scaling":{"min":39,"max":94,"boot-s":8.0}}],
"limits":{"max-header-bytes":16384,"idle-timeout-ms":15000},
"tenants":[{"name":"one","api-keys":["key-1"],"priority":1,"unit":"token_stream","plain-tokens":200,"rate-per-s":100.5,"burst":50}]})";

constexpr const char *bootText = R"(node-name = "front-1"
ip = "10.1.0.25"
zone = "north"
port-range = [7600, 7615]
seeds = ["10.1.0.27:8229"]
bootstrap = true
[zones]
north = "land"
[listen]
front = "10.1.0.25:8221"
ready = "10.1.0.25:8224"
[bounds]
grace-s = 8
quota-window-s = 8
revoke-ms = 5000
retry-budget-ratio = 0.2
new-field = 1
)";

} // namespace

TEST_CASE("A configuration of the platform becomes a catalog")
{
    const auto decoded = decodeCatalog(configText);
    REQUIRE(std::holds_alternative<catalog::Catalog>(decoded));
    const auto &catalog = std::get<catalog::Catalog>(decoded);
    CHECK(catalog.version == 7);
    REQUIRE(catalog.routes.size() == 1);
    CHECK(catalog.routes[0].kind == catalog::CallKind::Stream);
    CHECK(catalog.routes[0].objective == milliseconds(600));
    CHECK(catalog.routes[0].split.size() == 2);
    REQUIRE(catalog.services[0].engine);
    CHECK(catalog.services[0].engine->memoryMb == 75800.0);
    CHECK(catalog.services[0].engine->models[0].weightsMb == 72700.0);
    CHECK_FALSE(catalog.services[0].scaling);
    REQUIRE(catalog.services[1].scaling);
    CHECK(catalog.services[1].scaling->minimum == 39);
    CHECK(catalog.services[1].scaling->maximum == 94);
    CHECK(catalog.services[1].scaling->bootTime == seconds(8));
    CHECK(catalog.organisations[0].countsTokens);
    CHECK(catalog.organisations[0].ratePerSecond == 100.5);
    CHECK(catalog::findProblem(catalog).empty());
}

// Guards against a configuration that takes the last organisation away and so lets callers in without a key.
TEST_CASE("Only a configuration that doesn't name organisations needs no keys")
{
    const std::string text = configText;
    const std::string withoutOrganisations = text.substr(0, text.find(",\n\"tenants\""));
    const auto isKeyless = [](const std::string &config) {
        const auto decoded = decodeCatalog(config);
        REQUIRE(std::holds_alternative<catalog::Catalog>(decoded));
        return std::get<catalog::Catalog>(decoded).isKeyless;
    };
    CHECK_FALSE(isKeyless(text));
    CHECK_FALSE(isKeyless(withoutOrganisations + R"(,"tenants":[]})"));
    CHECK(isKeyless(withoutOrganisations + "}"));
    CHECK(std::holds_alternative<catalog::CatalogProblem>(decodeCatalog(withoutOrganisations + R"(,"tenants":null})")));
}

// Guards against the acknowledgement of a configuration that cannot be read in full.
TEST_CASE("A configuration that cannot be read is refused")
{
    const std::string text = configText;
    const auto changed = [&text](std::string_view from, std::string_view to) {
        std::string copy = text;
        const std::size_t at = copy.find(from);
        REQUIRE(at != std::string::npos);
        copy.replace(at, from.size(), to);
        return std::holds_alternative<catalog::CatalogProblem>(decodeCatalog(copy));
    };
    CHECK(std::holds_alternative<catalog::CatalogProblem>(decodeCatalog(text.substr(0, text.size() / 2))));
    CHECK(std::holds_alternative<catalog::CatalogProblem>(decodeCatalog("[]")));
    CHECK(changed("\"version\":7", "\"version\":\"7\""));
    CHECK(changed("\"version\":7", "\"version\":-1"));
    CHECK(changed("streaming", "dreaming"));
    CHECK(changed("\"host\":\"one.example\"", "\"host\":5"));
    CHECK(changed("\"timeout-ms\":12000", "\"timeout\":12000"));
    CHECK(changed("\"weight\":90", "\"weight\":\"90\""));
    CHECK(changed("[\"key-1\"]", "[1]"));
    CHECK(changed("\"min\":39", "\"min\":-1"));
    CHECK(changed("\"max\":94", "\"max\":4294967296"));
    CHECK(changed("\"boot-s\":8.0", "\"boot-s\":1e300"));
    CHECK(changed("\"boot-s\":8.0", "\"boot\":8.0"));
}

// Guards against forged or foreign announcements that would replace or end a backend server.
TEST_CASE("An announcement names a backend server or is dropped")
{
    const std::string text = R"({"service":"chat","address":"10.0.0.9:80","zone":"north","slots":64,"state":"ready","cold-remaining-ms":0,
"models":[{"name":"base","version":1,"adapters":["a1@1"]}],"sequence":4,"born":1700000000000})";
    const auto record = decodeAnnouncement("i-1", text);
    REQUIRE(record);
    CHECK(record->born == 1'700'000'000'000);
    CHECK(record->held.size() == 1);
    CHECK(record->state == registry::ServerState::Ready);
    CHECK_FALSE(decodeAnnouncement("i-1", "{}"));
    CHECK_FALSE(decodeAnnouncement("i-1", "not json"));
    std::string unknownState = text;
    unknownState.replace(unknownState.find("ready"), 5, "magic");
    CHECK_FALSE(decodeAnnouncement("i-1", unknownState));
}

// Guards against calls to a backend server that is taken away before they end, because what it says of the time left can't be used.
TEST_CASE("A backend server that is taken away at short notice drains, whatever the time left")
{
    for (const char *remaining : {"8000", "0", "1e300", "-1", "null", "\"soon\""}) {
        const auto record =
            decodeAnnouncement("i-1",
                               std::string(R"({"service":"chat","address":"10.0.0.9:80","zone":"north","slots":64,"state":"draining","remaining-ms":)")
                                   + remaining + R"(,"sequence":5,"born":1700000000000})");
        REQUIRE(record);
        CHECK(record->state == registry::ServerState::Draining);
        CHECK(record->sequence == 5);
    }
}

// Guards against an odd entry of another writer that ends the instances that read it, or lasts longer than the entry of a real backend server.
TEST_CASE("An announcement with values that no backend server can mean is dropped")
{
    const std::string text = R"({"service":"chat","address":"10.0.0.9:80","zone":"north","slots":64,"state":"ready","cold-remaining-ms":0,
"models":[{"name":"base","version":1,"adapters":["a1@1"]}],"sequence":4,"born":1700000000000})";
    const auto isDropped = [&text](std::string_view from, const std::string &to) {
        std::string copy = text;
        const std::size_t at = copy.find(from);
        REQUIRE(at != std::string::npos);
        copy.replace(at, from.size(), to);
        return !decodeAnnouncement("i-1", copy).has_value();
    };
    REQUIRE(decodeAnnouncement("i-1", text));
    SECTION("nested deeply")
    {
        const std::string nested = std::string(100'000, '[') + std::string(100'000, ']');
        CHECK(isDropped("[{\"name\":\"base\",\"version\":1,\"adapters\":[\"a1@1\"]}]", nested));
        CHECK(isDropped("\"sequence\":4", "\"sequence\":4,\"more\":" + nested));
        CHECK_FALSE(decodeReport(nested));
    }
    SECTION("with a port out of range, or without an address")
    {
        for (const char *address : {"10.0.0.9:65536", "10.0.0.9:0", "10.0.0.9:-1", "10.0.0.9:99999999999999999999", "10.0.0.9", "front:80", ":"}) {
            CHECK(isDropped("10.0.0.9:80", address));
        }
    }
    SECTION("with a number too large")
    {
        CHECK(isDropped("\"cold-remaining-ms\":0", "\"cold-remaining-ms\":1e300"));
        CHECK(isDropped("\"cold-remaining-ms\":0", "\"cold-remaining-ms\":18446744073709551615"));
        CHECK(isDropped("\"slots\":64", "\"slots\":4294967360"));
        CHECK(isDropped("\"sequence\":4", "\"sequence\":18446744073709551615")); // means elsewhere that the server has left
        CHECK(isDropped("\"sequence\":4", "\"sequence\":1e30"));
        CHECK(isDropped("\"born\":1700000000000", "\"born\":1e30"));
    }
}

TEST_CASE("Reports and orders of engines keep their meaning")
{
    const auto report =
        decodeReport(R"({"models":[{"name":"base","version":1,"adapters":["a3@2"]}],"busy":false,"sequence":9,"coming":["base/a4@1"],"born":77})");
    REQUIRE(report);
    CHECK(report->born == 77);
    CHECK(report->sequence == 9);
    REQUIRE(report->copies.size() == 3);
    CHECK(report->copies[1].adapter == "a3");
    CHECK(report->copies[1].version == 2);
    CHECK(report->copies[2].isLoading);
    CHECK_FALSE(decodeReport(R"({"models":[],"sequence":"9"})"));

    const std::string order = encodeOrder({"i-1", "10.0.0.9:80", 1, placement::OrderKind::Load, "base", "a3", 2, 9, 41}, "core-1");
    CHECK(order == R"({"operation":"load","model":"base","adapter":"a3","version":2,"expect":9,"holder":"core-1","fencing-token":41})");
}

TEST_CASE("Settings of the platform are read and checked")
{
    const auto loaded = parseBootSettings(bootText);
    REQUIRE(std::holds_alternative<BootSettings>(loaded));
    const auto &settings = std::get<BootSettings>(loaded);
    CHECK(settings.graceMs == 8000);
    CHECK(settings.firstOwnPort == 7600);
    CHECK(settings.firstStart);
    CHECK(settings.zones == std::set<std::string>{"north"});
    CHECK(std::holds_alternative<BootProblem>(parseBootSettings("")));
    CHECK(std::holds_alternative<BootProblem>(parseBootSettings("node-name = ")));
    CHECK(std::holds_alternative<BootProblem>(parseBootSettings(std::string(bootText) + "lease-ms = 0\n")));
    const auto limited = parseBootSettings(std::string(bootText) + "[limits]\nmemory-mb = 160\nmax-fds = 4100\n");
    REQUIRE(std::holds_alternative<BootSettings>(limited));
    CHECK(std::get<BootSettings>(limited).memoryMegabytes == 160);
    CHECK(std::get<BootSettings>(limited).descriptors == 4100);
    CHECK(std::holds_alternative<BootProblem>(parseBootSettings(std::string(bootText) + "[limits]\nmemory-mb = -1\n")));
}

// Guards against an instance that calls an unknown place, or one that can't start because the platform has a duty that it does not know.
TEST_CASE("Duties take effect with an address, a rate and a window")
{
    const std::string bounds = "report-window-s = 5\n";
    const std::string address = "address = \"10.1.0.28:8781\"\n";
    const std::string rate = "duty-per-s = 50.0\n";
    const std::string duties = "duties = [\"usage_reporting\", \"tea-making\", \"autoscale\"]\n";
    const auto read = [](const std::string &text) {
        const auto loaded = parseBootSettings(std::string(bootText) + text);
        REQUIRE(std::holds_alternative<BootSettings>(loaded));
        return std::get<BootSettings>(loaded);
    };
    const auto hasDuties = [&read](const std::string &text) {
        const BootSettings settings = read(text);
        return settings.cloud.reportsUsage || settings.cloud.scales;
    };

    SECTION("all named")
    {
        const BootSettings settings = read(bounds + "[cloud]\nrate-per-s = 50.0\n" + address + rate + duties);
        CHECK(settings.cloud.reportsUsage);
        CHECK(settings.cloud.scales);
        CHECK(settings.cloud.address == "10.1.0.28:8781");
        CHECK(settings.cloud.callsPerSecond == 50);
        CHECK(settings.reportWindowMs == 5000);
    }
    SECTION("not named, or without what they need")
    {
        CHECK_FALSE(hasDuties(""));
        CHECK_FALSE(hasDuties(bounds + "[cloud]\n" + address + rate));
        CHECK_FALSE(hasDuties(bounds + "[cloud]\n" + rate + duties));
        CHECK_FALSE(hasDuties(bounds + "[cloud]\n" + address + duties));
        CHECK_FALSE(hasDuties(bounds + "[cloud]\n" + address + rate + "duties = [\"tea-making\", 5]\n"));
        const BootSettings withoutWindow = read("[cloud]\n" + address + rate + duties);
        CHECK_FALSE(withoutWindow.cloud.reportsUsage);
        CHECK(withoutWindow.cloud.scales);
    }
    SECTION("named with values that nothing can mean")
    {
        const auto isRefused = [](const std::string &text) {
            return std::holds_alternative<BootProblem>(parseBootSettings(std::string(bootText) + text));
        };
        CHECK(isRefused(bounds + "[cloud]\naddress = \"cloud\"\n" + rate + duties));
        CHECK(isRefused(bounds + "[cloud]\nduty-per-s = -1\n" + address + duties));
        CHECK(isRefused("report-window-s = -5\n[cloud]\n" + address + rate + duties));
    }
}
