#pragma once

#include "mimosahollow/callpermits/permitbucket.h"
#include "mimosahollow/core/ids.h"
#include "mimosahollow/core/time.h"
#include "mimosahollow/scheduling/declaration.h"
#include "mimosahollow/scheduling/slowstart.h"

#include <cstdint>
#include <vector>

namespace mimosahollow::scheduling {

enum class SlotPhase : std::uint8_t {
    Loading,
    Resident,
    Unloading,
    Unknown, /**< The result of an order is unknown; the first report that cannot predate it decides. */
};

/** An occupied adapter slot of a server. */
struct AdapterSlot
{
    AdapterId adapter{};
    SlotPhase phase{};
    bool mayHaveUnknownGrants = false; /**< Grants of an earlier owner may use the adapter. */
    bool isUnloadOrder = false; /**< The last order was an unload; also valid in phase Unknown. */
    bool countsAsLoad = false; /**< Counted in AdapterState::pendingLoads of the adapter to be loaded. */
    bool holdsLoadPermit = false; /**< Counted in PoolState::loadsInFlight. */
    std::uint32_t users = 0; /**< Number of grants on this server for this adapter. */
    std::uint64_t order = 0; /**< Number of the last order whose result may still arrive; 0: none. */
    AdapterId nextAdapter{}; /**< Adapter to load after the unload; 0: none. */
    TimePoint since; /**< Start of the phase. */
};

/** An adapter that was removed from a server recently; a lagging report may still list it. */
struct ErasedAdapter
{
    AdapterId adapter{};
    TimePoint at;
};

/** State of one backend server at the pool owner. */
struct ServerState
{
    ServerId id{};
    ServiceState serviceState = ServiceState::Out; /**< From the last PoolDeclaration that listed the server. */
    bool isDeclared = false; /**< Listed in the last PoolDeclaration. */
    bool announced = false;
    bool leaving = false; /**< Announced by the server itself. */
    bool checksFencing = false;
    std::uint64_t incarnation = 0;
    std::uint32_t adapterSlots = 0;
    std::uint32_t grants = 0; /**< Grants of this owner, and those of earlier owners that were reported to it. */
    std::uint32_t unknownGrants = 0; /**< Upper bound of unreported grants of earlier owners. */
    SlowStart slowStart;
    callpermits::PermitBucket permits; /**< Each grant takes one if the server has named a limit. */
    TimePoint ordersAllowedFrom; /**< No order is sent before, as orders of an earlier owner may still arrive. */
    TimePoint grantsAllowedFrom; /**< No grant or load before, after a refused connection. */
    TimePoint lastSeen; /**< Arrival of the last announcement or report. */
    bool silent = false; /**< Neither announcement nor report within SchedulingSettings::silenceTimeout. */
    std::vector<AdapterSlot> slots; /**< Occupied slots; exceeds adapterSlots only when the server lists more adapters. */
    std::vector<ErasedAdapter> erased;
};

} // namespace mimosahollow::scheduling
