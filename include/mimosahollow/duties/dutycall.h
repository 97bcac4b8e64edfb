#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>

namespace mimosahollow::duties {

/** Calls of each organisation that backend servers began to run in one reporting window. */
struct UsageReport
{
    std::uint64_t window = 0; /**< Number of whole windows between the start of 1970 and its beginning. */
    std::map<std::string, std::uint64_t> counts; /**< By organisation. */

    friend bool operator==(const UsageReport &, const UsageReport &) = default;
};

/** Wanted number of servers of a service in a failure domain. */
struct ScalingOrder
{
    std::string service;
    std::string domain;
    unsigned desired = 0;

    friend bool operator==(const ScalingOrder &, const ScalingOrder &) = default;
};

using DutyContent = std::variant<UsageReport, ScalingOrder>;

/** A call to the platform that only the holder of its duty may make. */
struct DutyCall
{
    std::string holder; /**< Machine. */
    std::uint64_t fencingNumber = 0; /**< Grows with each holder of the duty. */
    DutyContent content;

    friend bool operator==(const DutyCall &, const DutyCall &) = default;
};

enum class DutyOutcome : std::uint8_t {
    Accepted,
    Throttled, /**< More calls than the platform accepts. */
    Rejected, /**< Any other answer. */
    Unanswered,
};

} // namespace mimosahollow::duties
