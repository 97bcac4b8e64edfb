#pragma once

#include <cstdint>
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
};

/** A change of the replicated state. */
struct FleetCommand
{
    CommandKind kind{};
    std::uint64_t version = 0; /**< Of the catalog or of the adapter. */
    std::string subject; /**< Failure domain, "model/adapter", or prompt part. */
    std::string text; /**< Catalog as the operator wrote it. */
    std::vector<std::uint32_t> slots = {}; /**< Of TakeOrders. */
};

} // namespace mimosahollow::fleetstate
