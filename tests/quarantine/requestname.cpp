#include "mimosahollow/quarantine/requestname.h"

#include <catch2/catch.hpp>

using namespace mimosahollow::quarantine;

// Guards against the refusal of a sound request that resembles one under which backend servers end.
TEST_CASE("A request has another name as soon as its organisation, method, host, target or body differs")
{
    const RequestIdentity identity{"one", "POST", "host", "/path/a?b", "body"};
    const std::string name = requestName(identity);
    CHECK(isRequestName(name));
    CHECK(requestName(identity) == name);
    CHECK(requestName({"two", "POST", "host", "/path/a?b", "body"}) != name);
    CHECK(requestName({"one", "PUT", "host", "/path/a?b", "body"}) != name);
    CHECK(requestName({"one", "POST", "other", "/path/a?b", "body"}) != name);
    CHECK(requestName({"one", "POST", "host", "/path/a", "body"}) != name);
    CHECK(requestName({"one", "POST", "host", "/path/a?b", ""}) != name);

    SECTION("bytes that move from one field to the next make another name")
    {
        CHECK(requestName({"one", "POST", "host", "/path/a?bb", "ody"}) != name);
        CHECK(requestName({"", "onePOST", "host", "/path/a?b", "body"}) != name);
    }
    SECTION("the id of a prompt part is no name of a request")
    {
        CHECK_FALSE(isRequestName("5c1e07a2"));
    }
}
