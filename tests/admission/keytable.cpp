#include "mimosahollow/admission/keytable.h"
#include "mimosahollow/admission/retrybudget.h"

#include <catch2/catch.hpp>

#include <random>

using namespace mimosahollow;

namespace {

KeyHash randomHash(std::mt19937_64 &random)
{
    KeyHash hash{};
    for (std::uint8_t &byte : hash) {
        byte = static_cast<std::uint8_t>(random());
    }
    return hash;
}

} // namespace

// Guards against keys that are not found, match the wrong organisation, or remain valid after their withdrawal (P3, P5).
TEST_CASE("The key table finds exactly the keys of its configuration")
{
    REQUIRE_FALSE(admission::findKey({}, KeyHash{}));
    REQUIRE_FALSE(admission::findKey(admission::buildKeyTable({}), KeyHash{}));
    std::mt19937_64 random(20261204);
    control::Configuration configuration;
    configuration.version = 7;
    for (std::uint32_t i = 1; i <= 1000; ++i) {
        configuration.keys.push_back({"k", randomHash(random), OrganisationId{i}});
    }
    const admission::KeyTable table = admission::buildKeyTable(configuration);
    REQUIRE(table.version == 7);
    for (const control::ApiKey &key : configuration.keys) {
        REQUIRE(admission::findKey(table, key.hash) == key.organisation);
    }

    SECTION("a hash that differs in its last bit is unknown")
    {
        KeyHash other = configuration.keys[5].hash;
        other.back() ^= 1U;
        REQUIRE_FALSE(admission::findKey(table, other));
    }
    SECTION("a withdrawn key is unknown to the next table")
    {
        const KeyHash withdrawn = configuration.keys.back().hash;
        configuration.keys.pop_back();
        REQUIRE_FALSE(admission::findKey(admission::buildKeyTable(configuration), withdrawn));
    }
}

// Guards against retries that multiply the load of an outage.
TEST_CASE("Retries stay within a tenth of the requests")
{
    admission::RetryBudget budget;
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        admission::countRequest(budget);
        retries += admission::takeRetry(budget) ? 1 : 0;
    }
    REQUIRE(retries >= 100);
    REQUIRE(retries <= 101);

    SECTION("requests without retries accumulate a bounded reserve")
    {
        for (int i = 0; i < 1000; ++i) {
            admission::countRequest(budget);
        }
        int reserve = 0;
        while (admission::takeRetry(budget)) {
            ++reserve;
        }
        REQUIRE(reserve == 10);
    }
}
