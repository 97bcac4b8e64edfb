#include "adminrequests.h"

#include "mimosahollow/settings/bundle.h"
#include "mimosahollow/settings/keysecret.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <array>
#include <charconv>
#include <cinttypes>
#include <cstdio>

namespace mimosahollow::admin {

namespace json = boost::json;

namespace {

using Parsed = std::variant<control::CommandBody, RequestError>;

/** Fields of a request body; remembers the last problem. */
struct Fields
{
    json::object object;
    std::string problem;

    std::string text(std::string_view name)
    {
        const json::value *value = object.if_contains(name);
        if (value == nullptr || !value->is_string() || value->get_string().empty()) {
            problem = std::string(name) + " must be a non-empty string";
            return {};
        }
        return std::string(value->get_string());
    }

    bool flag(std::string_view name)
    {
        const json::value *value = object.if_contains(name);
        if (value == nullptr || !value->is_bool()) {
            problem = std::string(name) + " must be true or false";
            return false;
        }
        return value->get_bool();
    }

    double number(std::string_view name)
    {
        const json::value *value = object.if_contains(name);
        json::error_code error;
        const double result = value != nullptr ? value->to_number<double>(error) : -1;
        if (value == nullptr || error || result < 0) {
            problem = std::string(name) + " must be a number of at least 0";
            return 0;
        }
        return result;
    }

    std::vector<std::string> list(std::string_view name)
    {
        std::vector<std::string> result;
        const json::value *value = object.if_contains(name);
        if (value == nullptr || !value->is_array()) {
            problem = std::string(name) + " must be a list of strings";
            return result;
        }
        for (const json::value &element : value->get_array()) {
            if (!element.is_string()) {
                problem = std::string(name) + " must contain strings only";
                return {};
            }
            result.emplace_back(element.get_string());
        }
        return result;
    }
};

Parsed finished(const Fields &fields, control::CommandBody body)
{
    if (!fields.problem.empty()) {
        return RequestError{400, fields.problem};
    }
    return body;
}

Parsed parseGrantKey(Fields &fields)
{
    control::GrantKey command;
    command.name = fields.text("name");
    command.organisation = fields.text("organisation");
    const auto hash = settings::hashFromHex(fields.text("hash"));
    if (!hash) {
        fields.problem = "hash must be 64 hexadecimal digits";
    } else {
        command.hash = *hash;
    }
    return finished(fields, std::move(command));
}

Parsed parsePublish(Fields &fields)
{
    control::PublishAdapter command;
    command.baseModel = fields.text("base");
    command.name = fields.text("name");
    command.version = fields.text("version");
    command.isDefault = fields.flag("default");
    command.organisations = fields.list("organisations");
    return finished(fields, std::move(command));
}

struct CheckedBundle
{
    control::SignedBundle bundle;
    std::shared_ptr<const control::Configuration> configuration;
};

std::variant<CheckedBundle, RequestError> readBundle(std::string_view packed, const std::vector<OperatorRecord> &operators)
{
    auto unpacked = control::unpackBundle(packed);
    if (const auto *error = std::get_if<control::BundleError>(&unpacked)) {
        return RequestError{400, error->message};
    }
    CheckedBundle checked;
    checked.bundle = std::get<control::SignedBundle>(std::move(unpacked));
    std::vector<control::Operator> identities;
    identities.reserve(operators.size());
    for (const OperatorRecord &record : operators) {
        identities.push_back(record.identity);
    }
    if (const auto error = control::verifyBundle(checked.bundle, identities)) {
        return RequestError{403, error->message};
    }
    auto parsed = settings::parseBundle(checked.bundle.text);
    if (const auto *problems = std::get_if<std::vector<settings::SettingsProblem>>(&parsed)) {
        std::string message;
        for (const settings::SettingsProblem &problem : *problems) {
            message += settings::describe(problem, "bundle") + "\n";
        }
        return RequestError{400, message};
    }
    checked.configuration = std::make_shared<control::Configuration>(std::get<control::Configuration>(std::move(parsed)));
    if (checked.configuration->version != checked.bundle.version) {
        return RequestError{400, "the version in the text of the bundle differs from the signed version"};
    }
    return checked;
}

Parsed parseBundleSubmission(std::string_view body, const std::vector<OperatorRecord> &operators)
{
    auto read = readBundle(body, operators);
    if (auto *error = std::get_if<RequestError>(&read)) {
        return std::move(*error);
    }
    auto &checked = std::get<CheckedBundle>(read);
    control::ApplyBundle command;
    command.expectedVersion = checked.bundle.expectedVersion;
    command.configuration = std::move(checked.configuration);
    command.author = checked.bundle.author;
    command.approver = checked.bundle.approver;
    command.hash = checked.bundle.hash;
    return control::CommandBody(std::move(command));
}

} // namespace

std::variant<control::CommandBody, RequestError> parseAdminRequest(std::string_view path, std::string_view body, const std::vector<OperatorRecord> &operators)
{
    if (path == "bundles") {
        return parseBundleSubmission(body, operators);
    }
    json::error_code error;
    json::value value = json::parse(body, error);
    if (error || !value.is_object()) {
        return RequestError{400, "the body must be a JSON object"};
    }
    Fields fields{std::move(value.get_object()), {}};
    if (path == "keys/grant") {
        return parseGrantKey(fields);
    }
    if (path == "keys/withdraw") {
        return finished(fields, control::WithdrawKey{fields.text("name")});
    }
    if (path == "domains") {
        const std::string name = fields.text("name");
        return finished(fields, control::SetDomainOut{name, fields.flag("out")});
    }
    if (path == "backends") {
        const std::string name = fields.text("name");
        return finished(fields, control::SetServerOut{name, fields.flag("out")});
    }
    if (path == "adapters") {
        return parsePublish(fields);
    }
    if (path == "rates") {
        const std::string organisation = fields.text("organisation");
        const double rate = fields.number("rate");
        return finished(fields, control::SetRate{organisation, rate, fields.number("burst")});
    }
    return RequestError{404, "unknown path"};
}

std::variant<std::string, RequestError>
checkBundle(std::string_view packed, const std::vector<OperatorRecord> &operators, const control::Configuration &inForce)
{
    auto read = readBundle(packed, operators);
    if (auto *error = std::get_if<RequestError>(&read)) {
        return std::move(*error);
    }
    const auto &checked = std::get<CheckedBundle>(read);
    json::array changes;
    for (const std::string &line : control::bundleDifference(inForce, *checked.configuration)) {
        changes.emplace_back(line);
    }
    json::object result;
    result["version_in_force"] = inForce.version;
    result["expected"] = checked.bundle.expectedVersion;
    result["version"] = checked.bundle.version;
    result["changes"] = std::move(changes);
    return json::serialize(result);
}

std::optional<control::CommandId> parseCommandId(std::string_view text)
{
    constexpr std::size_t digits = 16;
    control::CommandId id;
    if (text.size() != 2 * digits) {
        return std::nullopt;
    }
    const char *middle = text.data() + digits;
    const auto high = std::from_chars(text.data(), middle, id.high, 16);
    const auto low = std::from_chars(middle, middle + digits, id.low, 16);
    const bool good = high.ec == std::errc() && high.ptr == middle && low.ec == std::errc() && low.ptr == middle + digits;
    return good ? std::optional(id) : std::nullopt;
}

std::string toText(const control::CommandId &id)
{
    std::array<char, 40> text{};
    const int length = std::snprintf(text.data(), text.size(), "%016" PRIx64 "%016" PRIx64, id.high, id.low);
    return {text.data(), static_cast<std::size_t>(length)};
}

std::string_view toString(control::CommandOutcome outcome) noexcept
{
    switch (outcome) {
    case control::CommandOutcome::Accepted:
        return "accepted";
    case control::CommandOutcome::VersionConflict:
        return "conflict";
    case control::CommandOutcome::NotFound:
        return "not-found";
    case control::CommandOutcome::Invalid:
        return "invalid";
    case control::CommandOutcome::IdReused:
        return "id-reused";
    default:
        return "unexpected";
    }
}

} // namespace mimosahollow::admin
