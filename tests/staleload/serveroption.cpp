#include "mimosahollow/staleload/serveroption.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace mimosahollow::staleload;

namespace {

/** How many of 1,000 evenly spaced draws choose each option. */
std::vector<unsigned> drawn(const std::vector<ServerOption> &options, double arrivals)
{
    std::vector<unsigned> counts(options.size());
    for (unsigned draw = 0; draw < 1000; ++draw) {
        ++counts[chooseServer(options, arrivals, (draw + 0.5) / 1000)];
    }
    return counts;
}

} // namespace

// Guards against instances that all choose the server whose count was lowest some time ago.
TEST_CASE("Calls are spread so that the calls of all instances even the costs out")
{
    const std::vector<ServerOption> options{{0.5, 0.1}, {0.2, 0.1}, {0.9, 0.1}};

    SECTION("with fresh costs the lowest one is chosen")
    {
        CHECK(drawn(options, 0) == std::vector<unsigned>{0, 1000, 0});
    }
    SECTION("as long as few calls arrive, too")
    {
        CHECK(drawn(options, 3) == std::vector<unsigned>{0, 1000, 0});
    }
    SECTION("four calls lift the lowest cost to 0.55 and the next one to it")
    {
        CHECK(drawn(options, 4) == std::vector<unsigned>{125, 875, 0});
    }
    SECTION("with very many the costs no longer matter")
    {
        for (const unsigned count : drawn(options, 10'000)) {
            CHECK(count >= 333);
            CHECK(count <= 334);
        }
    }
    SECTION("a server with twice the slots takes twice the calls")
    {
        CHECK(drawn({{0, 0.1}, {0, 0.05}}, 30) == std::vector<unsigned>{333, 667});
    }
    SECTION("equal costs share evenly")
    {
        CHECK(drawn({{1, 0.1}, {1, 0.1}}, 1) == std::vector<unsigned>{500, 500});
    }
}
