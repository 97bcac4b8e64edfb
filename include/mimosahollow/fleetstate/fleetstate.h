#pragma once

#include "mimosahollow/control/logentry.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace mimosahollow::fleetstate {

struct FleetCommand;

/** Who orders the engines of one slot. */
struct OrderHolder
{
    std::string name; /**< Coordinator; empty before the first one. */
    std::uint64_t fencingNumber = 0; /**< Log index of the assignment: it grows with each holder. */

    friend bool operator==(const OrderHolder &, const OrderHolder &) = default;
};

/** Who performs a duty. */
struct DutyHolder
{
    std::string name; /**< Coordinator. */
    std::uint64_t fencingNumber = 0; /**< Log index of the command TakeDuty: it grows with each holder. */
    std::string previous; /**< The coordinator before it; empty for the first holder. */

    friend bool operator==(const DutyHolder &, const DutyHolder &) = default;
};

/** Final counts of a reporting window. */
struct FixedUsage
{
    std::map<std::string, std::uint64_t> counts; /**< Calls by organisation. */
    bool isSent = false; /**< The platform has acknowledged the report. */

    friend bool operator==(const FixedUsage &, const FixedUsage &) = default;
};

/** What operators and leaders decided for the whole fleet; the same on every voter after the same log index. */
struct FleetState
{
    control::LogIndex index = 0; /**< Last entry applied. */
    std::uint64_t catalogVersion = 0;
    std::shared_ptr<const std::string> catalogText; /**< As the operator wrote it; null before the first one. */
    std::set<std::string> evacuatedDomains;
    std::vector<OrderHolder> orderHolders; /**< By slot of engines. */
    std::map<std::string, std::uint64_t> adapterVersions; /**< By "model/adapter"; an adapter without an entry is at any version. */
    std::map<std::string, control::LogIndex> quarantinedParts; /**< Prompt parts that end backend servers, with the index of the decision. */
    std::map<std::string, DutyHolder> dutyHolders; /**< By duty. */
    std::map<std::uint64_t, FixedUsage> fixedUsage; /**< By reporting window; only the newest ones. */
    std::uint64_t fixedWindow = 0; /**< Highest reporting window that was fixed; 0: none. */
};

/** Bytes that are not a command or a snapshot. */
struct FleetStateError
{
    std::string message;
};

/** Applies @p command, which the log holds at @p index. Returns whether anything changed. */
bool apply(FleetState &state, control::LogIndex index, const FleetCommand &command);

[[nodiscard]] control::Bytes encodeCommand(const FleetCommand &command);
[[nodiscard]] std::variant<FleetCommand, FleetStateError> decodeCommand(std::span<const std::uint8_t> bytes);
[[nodiscard]] control::Bytes encodeSnapshot(const FleetState &state);
[[nodiscard]] std::variant<FleetState, FleetStateError> decodeSnapshot(std::span<const std::uint8_t> bytes);

} // namespace mimosahollow::fleetstate
