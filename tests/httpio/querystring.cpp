#include "httpio/querystring.h"

#include <catch2/catch.hpp>

using namespace mimosahollow::httpio;

// Guards against fields that change on their way, and against reads beyond the end of a query.
TEST_CASE("The fields of a query arrive as they were given")
{
    const QueryFields fields{{"path", "/a b/?x=1&y=%zz#"}, {"model", "base/a"}, {"empty", ""}};
    CHECK(parseQuery("/explain" + formatQuery(fields)) == fields);

    SECTION("damaged ones are taken as they are")
    {
        CHECK(parseQuery("/explain").empty());
        CHECK(parseQuery("/explain?").empty());
        CHECK(parseQuery("/explain?a&&=b&c=%4") == QueryFields{{"", "b"}, {"c", "%4"}});
        CHECK(parseQuery("/explain?a=%zz%41&a=%") == QueryFields{{"a", "%"}});
    }
}
