#include "mimosahollow/settings/load.h"
#include "mimosahollow/settings/settings.h"
#include "mimosahollow/settings/settingsproblem.h"

#include <catch2/catch.hpp>

using namespace mimosahollow::settings;

namespace {

constexpr std::string_view minimalText = R"([instance]
name = "a1"
failure_domain = "a"
[listen]
callers = "127.0.0.1:8080"
)";

std::vector<SettingsProblem> problemsOf(const std::string &text)
{
    const SettingsResult result = loadText(text);
    REQUIRE(std::holds_alternative<std::vector<SettingsProblem>>(result));
    return std::get<std::vector<SettingsProblem>>(result);
}

} // namespace

// Guards against a settings file that is accepted although an operator's mistake changes its meaning.
TEST_CASE("An operator writes a settings file")
{
    SECTION("the required keys are enough, the rest has defaults")
    {
        const SettingsResult result = loadText(minimalText);
        REQUIRE(std::holds_alternative<Settings>(result));
        const Settings &settings = std::get<Settings>(result);
        REQUIRE(settings.instanceName == "a1");
        REQUIRE(settings.freshnessTime == std::chrono::seconds(10));
        REQUIRE(settings.gatewayThreads == 2);
    }

    SECTION("every mistake is reported at once, with line, key, value and what is allowed")
    {
        const auto problems = problemsOf("[instance]\nname = 7\n[listen]\ncallers = \"localhost:80\"\n[gateway]\nthreads = 0\ntreads = 3\n");
        REQUIRE(problems.size() == 5);
        REQUIRE(problems[0].key == "gateway.treads");
        REQUIRE(problems[0].line == 7);
        REQUIRE(problems[1].key == "instance.name");
        REQUIRE(problems[1].value == "7");
        REQUIRE(problems[2].key == "instance.failure_domain");
        REQUIRE(problems[3].key == "listen.callers");
        REQUIRE(problems[4].message.find("1 to 64") != std::string::npos);
    }

    SECTION("values that contradict each other are refused")
    {
        const std::string text = std::string(minimalText) + "links = \"192.0.2.1:9000\"\n[fleet]\nvoters = [\"a1\", \"b1\"]\n";
        const auto problems = problemsOf(text);
        REQUIRE(problems.size() == 3);
        REQUIRE(problems[0].key == "fleet.voters");
        REQUIRE(problems[1].key == "instance.data_folder");
        REQUIRE(problems[2].key == "listen.links");
    }

    SECTION("text that is not TOML names the line")
    {
        const auto problems = problemsOf("[instance\n");
        REQUIRE(problems.size() == 1);
        REQUIRE(problems[0].line == 1);
    }

    SECTION("a malformed key that the TOML library asserts on is reported and does not abort")
    {
        REQUIRE(problemsOf("[+Q").size() == 1);
        REQUIRE(problemsOf("\xd0\xac\n").size() == 1);
    }
}
