#include "backendmessages.h"

#include "addresses.h"

#include <boost/json/parse.hpp>

#include <algorithm>
#include <limits>

namespace mimosahollow::gateway {

namespace json = boost::json;

namespace {

// A list longer than the adapter slots of any engine is an error of the sender.
constexpr std::size_t maximumListedAdapters = 4096;
constexpr std::size_t maximumNameBytes = 512;

/** Names are compared and logged; control characters and long texts are errors of the sender. */
bool isName(const json::value &value)
{
    const json::string *text = value.if_string();
    return text != nullptr && !text->empty() && text->size() <= maximumNameBytes && std::none_of(text->begin(), text->end(), [](char character) {
               return static_cast<unsigned char>(character) < 0x20 || character == 0x7f;
           });
}

/** Reads fields of one object and remembers whether all were well formed. */
struct FieldReader
{
    const json::object &object;
    bool good = true;

    std::string text(std::string_view name)
    {
        const json::value *value = object.if_contains(name);
        if (value == nullptr || !isName(*value)) {
            good = false;
            return {};
        }
        return std::string(value->get_string());
    }

    /** An IP address with a port. */
    std::string address(std::string_view name)
    {
        std::string value = text(name);
        const auto endpoint = parseEndpoint(value);
        good = good && endpoint && endpoint->port() != 0;
        return value;
    }

    std::uint64_t number(std::string_view name, std::uint64_t maximum)
    {
        const json::value *value = object.if_contains(name);
        json::error_code error;
        const auto result = value == nullptr ? std::uint64_t{0} : value->to_number<std::uint64_t>(error);
        if (value == nullptr || error || result > maximum) {
            good = false;
            return 0;
        }
        return result;
    }

    bool flag(std::string_view name)
    {
        const json::value *value = object.if_contains(name);
        return value != nullptr && value->is_bool() && value->get_bool();
    }

    std::vector<std::string> list(std::string_view name)
    {
        std::vector<std::string> result;
        const json::value *value = object.if_contains(name);
        if (value == nullptr) {
            return result;
        }
        if (!value->is_array() || value->get_array().size() > maximumListedAdapters) {
            good = false;
            return result;
        }
        for (const json::value &element : value->get_array()) {
            if (!isName(element)) {
                good = false;
                return {};
            }
            result.emplace_back(element.get_string());
        }
        return result;
    }
};

std::optional<json::object> parseObject(std::string_view body)
{
    json::error_code error;
    json::value value = json::parse(body, error);
    if (error || !value.is_object()) {
        return std::nullopt;
    }
    return std::move(value.get_object());
}

constexpr std::uint64_t any64 = std::numeric_limits<std::uint64_t>::max();
constexpr std::uint64_t maximumSlots = 65'536;

} // namespace

std::optional<BackendAnnouncement> parseAnnouncement(std::string_view body)
{
    const auto object = parseObject(body);
    if (!object) {
        return std::nullopt;
    }
    FieldReader reader{*object};
    BackendAnnouncement announcement;
    announcement.name = reader.text("name");
    announcement.address = reader.address("address");
    announcement.failureDomain = reader.text("failure_domain");
    announcement.kind = reader.text("kind");
    announcement.incarnation = reader.number("incarnation", any64);
    announcement.slots = static_cast<std::uint32_t>(reader.number("slots", maximumSlots));
    announcement.adapterSlots = static_cast<std::uint32_t>(reader.number("adapter_slots", maximumSlots));
    announcement.coldLimit = static_cast<std::uint32_t>(reader.number("cold_limit", maximumSlots));
    announcement.checksFencing = reader.flag("checks_fencing");
    announcement.leaving = reader.flag("leaving");
    announcement.adapters = reader.list("adapters");
    return reader.good ? std::optional(std::move(announcement)) : std::nullopt;
}

std::optional<BackendReport> parseReport(std::string_view body)
{
    const auto object = parseObject(body);
    if (!object) {
        return std::nullopt;
    }
    FieldReader reader{*object};
    BackendReport report;
    report.name = reader.text("name");
    report.incarnation = reader.number("incarnation", any64);
    report.running = static_cast<std::uint32_t>(reader.number("running", maximumSlots));
    report.queued = static_cast<std::uint32_t>(reader.number("queued", any64 >> 32U));
    report.adapters = reader.list("adapters");
    return reader.good ? std::optional(std::move(report)) : std::nullopt;
}

} // namespace mimosahollow::gateway
