#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mimosahollow::fleetstate {

enum class CommandKind : std::uint8_t {
    PutCatalog, /**< Replaces the catalog when its version is higher. */
    EvacuateDomain, /**< Nothing more is sent to the backend servers of a failure domain. */
    ReturnDomain, /**< Takes an evacuation back. */
    TakeOrders, /**< From now on only the coordinator that is the subject orders the engines of some slots. */
    NameAdapterVersion, /**< Calls of an adapter run on this version or a newer one. */
    QuarantinePart, /**< No call with the prompt part that is the subject is sent to a backend server. */
    ReleasePart, /**< Takes a quarantine back. */
    TakeDuty, /**< From now on only the coordinator named by the text performs the duty that is the subject. */
    FixUsage, /**< The counts of a reporting window are final. The first command for a window rules, and windows are fixed in ascending order. */
    UsageSent, /**< The platform has acknowledged the report for a window. */
};

/** A change of the replicated state. */
struct FleetCommand
{
    CommandKind kind{};
    std::uint64_t version = 0; /**< Of the catalog or of the adapter, or number of a reporting window. */
    std::string subject; /**< Failure domain, "model/adapter", prompt part, or duty. */
    std::string text; /**< Catalog as the operator wrote it, or coordinator that takes a duty. */
    std::vector<std::uint32_t> slots = {}; /**< Of TakeOrders. */
    std::map<std::string, std::uint64_t> counts = {}; /**< Of FixUsage: calls by organisation. */
};

} // namespace mimosahollow::fleetstate
