#include "mimosahollow/callerlimits/callerholdings.h"

#include <catch2/catch.hpp>

using namespace mimosahollow::callerlimits;

// Guards against a caller that takes the connections or the memory of others.
TEST_CASE("The address that holds most yields first")
{
    CallerHoldings holdings;
    holdings.budget = {3, 1000};
    const auto large = openConnection(holdings, "10.0.0.1");
    const auto newer = openConnection(holdings, "10.0.0.1");
    const auto other = openConnection(holdings, "10.0.0.2");
    CHECK_FALSE(isOverBudget(holdings));

    SECTION("its connection that is unused for the longest time, when there are too many")
    {
        const auto last = openConnection(holdings, "10.0.0.3");
        CHECK(isOverBudget(holdings));
        CHECK(connectionToClose(holdings) == large);
        beginCall(holdings, large);
        CHECK(connectionToClose(holdings) == newer);
        endCall(holdings, large);
        CHECK(connectionToClose(holdings) == newer);
        beginCall(holdings, newer); // callers that don't read their answers are in a call for long
        CHECK(connectionToClose(holdings) == large);
        closeConnection(holdings, newer);
        CHECK_FALSE(connectionToClose(holdings));
        closeConnection(holdings, last);
        closeConnection(holdings, last);
        CHECK(holdings.connections.size() == 2);
    }

    SECTION("its largest request, when requests take too much memory")
    {
        holdBytes(holdings, other, 490);
        holdBytes(holdings, newer, 300);
        holdBytes(holdings, large, 210);
        CHECK_FALSE(isOverBudget(holdings));
        holdBytes(holdings, large, 220);
        CHECK(connectionToClose(holdings) == newer);
        closeConnection(holdings, newer);
        CHECK(holdings.bytes == 710);
        CHECK_FALSE(connectionToClose(holdings));
    }

    SECTION("but for the sake of memory no call that waits or runs, and no connection without a request")
    {
        holdBytes(holdings, large, 1001);
        beginCall(holdings, large);
        CHECK(isOverBudget(holdings));
        CHECK_FALSE(connectionToClose(holdings));
        holdBytes(holdings, other, 1);
        CHECK(connectionToClose(holdings) == other);
    }

    for (const auto number : {large, newer, other}) {
        closeConnection(holdings, number);
    }
    CHECK(holdings.bytes == 0);
}
