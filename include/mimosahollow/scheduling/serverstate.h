#pragma once

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
    Unknown, /**< An order had no clear result; the next report that is young enough decides. */
};

/** An adapter slot of a server that is not free. */
struct AdapterSlot
{
    AdapterId adapter{};
    SlotPhase phase{};
    bool mayHaveUnknownGrants = false; /**< A grant of an earlier owner may use the adapter. */
    bool isUnloadOrder = false; /**< The order is an unload; stays valid while the phase is Unknown. */
    bool countsAsLoad = false; /**< Counted in AdapterState::pendingLoads of the adapter that is being loaded. */
    bool holdsLoadPermit = false; /**< Counted in PoolState::loadsInFlight. */
    std::uint32_t users = 0; /**< Grants on this server for this adapter. */
    std::uint64_t order = 0; /**< Load or unload in flight. */
    AdapterId nextAdapter{}; /**< To be loaded when the unload is done. */
    TimePoint since; /**< Start of the phase. */
};

/** An adapter that left a server recently; a lagging report may still list it. */
struct ErasedAdapter
{
    AdapterId adapter{};
    TimePoint at;
};

/** What the owner knows about one backend server. */
struct ServerState
{
    ServerId id{};
    ServiceState serviceState = ServiceState::Out;
    bool isDeclared = false;
    bool announced = false;
    bool leaving = false; /**< By its own announcement. */
    bool checksFencing = false;
    std::uint64_t incarnation = 0;
    std::uint32_t adapterSlots = 0;
    std::uint32_t grants = 0; /**< Requests granted by this owner or reconciled. */
    std::uint32_t unknownGrants = 0; /**< Slots that an earlier owner may have granted. */
    SlowStart slowStart;
    TimePoint ordersAllowedFrom; /**< No order before: an earlier owner's order may still arrive. */
    TimePoint grantsAllowedFrom; /**< Nothing new before: the server refused a connection. */
    TimePoint lastSeen; /**< Last announcement or report. */
    bool silent = false; /**< Not seen for SchedulingSettings::silenceTimeout. */
    std::vector<AdapterSlot> slots; /**< Longer than adapterSlots only when the server reports more than that. */
    std::vector<ErasedAdapter> erased;
};

} // namespace mimosahollow::scheduling
