#include "admin/adminrequests.h"

#include <catch2/catch.hpp>

using namespace mimosahollow;
using namespace mimosahollow::admin;

namespace {

constexpr std::string_view hex64 = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

std::string operatorText(std::string_view roles)
{
    return "[[operator]]\nname = \"ana\"\nkey_hash = \"" + std::string(hex64) + "\"\npublic_key = \"" + std::string(hex64) + "\"\nroles = " + std::string(roles)
           + "\n";
}

unsigned statusOf(std::string_view path, std::string_view body)
{
    const auto result = parseAdminRequest(path, body, {});
    const auto *error = std::get_if<RequestError>(&result);
    return error != nullptr ? error->status : 200;
}

} // namespace

// Guards against operators that get roles by a mistake in their file.
TEST_CASE("An operators file")
{
    SECTION("names operators with their roles")
    {
        const auto result = parseOperators(operatorText(R"(["author", "reader"])"));
        REQUIRE(std::holds_alternative<std::vector<OperatorRecord>>(result));
        const auto &operators = std::get<std::vector<OperatorRecord>>(result);
        REQUIRE(operators.size() == 1);
        REQUIRE(operators[0].identity.author);
        REQUIRE_FALSE(operators[0].identity.approver);

        SECTION("who are found by the hash of their key only")
        {
            REQUIRE(findOperator(operators, operators[0].keyHash) == &operators[0]);
            REQUIRE(findOperator(operators, KeyHash{}) == nullptr);
        }
    }
    SECTION("is refused with an unknown role, without roles, or with a malformed hash")
    {
        REQUIRE(std::holds_alternative<std::string>(parseOperators(operatorText(R"(["owner"])"))));
        REQUIRE(std::holds_alternative<std::string>(parseOperators(operatorText("[]"))));
        REQUIRE(std::holds_alternative<std::string>(parseOperators("[[operator]]\nname = \"ana\"\nkey_hash = \"00\"\n")));
        REQUIRE(std::holds_alternative<std::string>(parseOperators("[+Q")));
        REQUIRE(std::holds_alternative<std::string>(parseOperators("")));
    }
}

// Guards against a malformed request that changes something else than the operator meant.
TEST_CASE("An operator's request")
{
    SECTION("becomes a command")
    {
        const auto result = parseAdminRequest("domains", R"({"name":"b","out":true})", {});
        REQUIRE(std::holds_alternative<control::CommandBody>(result));
        const auto &command = std::get<control::SetDomainOut>(std::get<control::CommandBody>(result));
        REQUIRE(command.domain == "b");
        REQUIRE(command.outOfService);
    }
    SECTION("is refused when a field is missing or has another type")
    {
        REQUIRE(statusOf("domains", R"({"name":"b"})") == 400);
        REQUIRE(statusOf("domains", R"({"name":"","out":true})") == 400);
        REQUIRE(statusOf("rates", R"({"organisation":"o","rate":-1,"burst":1})") == 400);
        REQUIRE(statusOf("keys/grant", R"({"name":"k","organisation":"o","hash":"12"})") == 400);
        REQUIRE(statusOf("keys/withdraw", "[]") == 400);
        REQUIRE(statusOf("keys/withdraw", "{") == 400);
    }
    SECTION("is refused for an unknown path or a bundle that is not one")
    {
        REQUIRE(statusOf("nothing", "{}") == 404);
        REQUIRE(statusOf("bundles", "{}") == 400);
    }
    SECTION("may name its command id, so that a resend is recognised")
    {
        const control::CommandId id{0x0123456789abcdefULL, 42};
        REQUIRE(parseCommandId(toText(id)) == id);
        REQUIRE_FALSE(parseCommandId("12"));
        REQUIRE_FALSE(parseCommandId("0123456789abcdef012345678-abcdef"));
    }
}
