#include "mimosahollow/settings/bundle.h"

#include <catch2/catch.hpp>

using namespace mimosahollow;
using namespace mimosahollow::settings;

namespace {

std::string bundleWithBaseModels(unsigned count)
{
    std::string text = "version = 1\nbase_models = [";
    for (unsigned i = 0; i < count; ++i) {
        text += (i == 0 ? "\"m" : ", \"m") + std::to_string(i) + "\"";
    }
    return text + "]\n[[domain]]\nname = \"a\"\nshare = 1\n";
}

} // namespace

// Guards against a route that is opened to all organisations when the last one is taken off its list.
TEST_CASE("A route names at least one organisation, or has no list of them")
{
    const std::string bundle = "version = 1\nbase_models = [\"base\"]\n[[domain]]\nname = \"a\"\nshare = 1\n[[route]]\nprefix = \"/r/\"\nservice = \"r\"\n";
    const auto accepted = parseBundle(bundle);
    REQUIRE(std::holds_alternative<control::Configuration>(accepted));
    CHECK(std::get<control::Configuration>(accepted).routes.at(0).organisations.empty());

    const auto refused = parseBundle(bundle + "organisations = []\n");
    REQUIRE(std::holds_alternative<std::vector<SettingsProblem>>(refused));
    CHECK(std::get<std::vector<SettingsProblem>>(refused).front().key.ends_with("organisations"));
}

// Guards against adapters that silently get another base model, since the encoded configuration refers to base models by 16-bit numbers.
TEST_CASE("A bundle has no more base models than adapters can refer to")
{
    const auto accepted = parseBundle(bundleWithBaseModels(65'536));
    REQUIRE(std::holds_alternative<control::Configuration>(accepted));
    CHECK(std::get<control::Configuration>(accepted).baseModels.size() == 65'536);

    const auto refused = parseBundle(bundleWithBaseModels(65'537));
    REQUIRE(std::holds_alternative<std::vector<SettingsProblem>>(refused));
    CHECK(std::get<std::vector<SettingsProblem>>(refused).front().key == "bundle.base_models");
}
