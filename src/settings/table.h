#pragma once

#include "mimosahollow/settings/settings.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace mimosahollow::settings {

enum class Presence : std::uint8_t {
    Optional,
    Required,
};

struct TextRule
{
    std::string Settings::*field;
    std::string_view defaultValue;
    std::span<const std::string_view> allowed; /**< Empty: any text. */
    bool isAddress = false; /**< "IP:port", with an IP number. */
};

struct ListRule
{
    std::vector<std::string> Settings::*field;
};

struct FlagRule
{
    bool Settings::*field;
    bool defaultValue;
};

template<typename Number>
struct NumberRule
{
    Number Settings::*field;
    std::int64_t defaultValue;
    std::int64_t minimum;
    std::int64_t maximum;
};

/** A duration in milliseconds. */
struct DurationRule
{
    Duration Settings::*field;
    std::int64_t defaultMilliseconds;
    std::int64_t minimumMilliseconds;
    std::int64_t maximumMilliseconds;
};

using SettingRule = std::variant<TextRule, ListRule, FlagRule, NumberRule<std::uint32_t>, NumberRule<std::uint64_t>, DurationRule>;

/** One key of the settings file. The check, the defaults and the reference page are all made from this table. */
struct SettingEntry
{
    std::string_view section;
    std::string_view key;
    Presence presence;
    SettingRule rule;
    std::string_view meaning;
};

[[nodiscard]] std::span<const SettingEntry> settingTable() noexcept;

} // namespace mimosahollow::settings
