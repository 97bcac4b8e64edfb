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
    bool unknownUse = false; /**< A grant of an earlier owner may use the adapter. */
    std::uint32_t users = 0; /**< Grants on this server for this adapter. */
    std::uint64_t order = 0; /**< Load or unload in flight. */
    AdapterId next{}; /**< To be loaded when the unload is done. */
    TimePoint since; /**< Start of the phase. */
};

/** What the owner knows about one backend server. */
struct ServerState
{
    ServerId id{};
    ServiceState declared = ServiceState::Out;
    bool isDeclared = false;
    bool announced = false;
    bool leaving = false; /**< By its own announcement. */
    bool checksFencing = false;
    std::uint64_t incarnation = 0;
    std::uint32_t adapterSlots = 0;
    std::uint32_t grants = 0; /**< Requests granted by this owner or reconciled. */
    std::uint32_t unknownGrants = 0; /**< Slots that an earlier owner may have granted. */
    SlowStart slowStart;
    TimePoint ordersFrom; /**< No order before: an earlier owner's order may still arrive. */
    TimePoint suspectUntil; /**< No loads before: the last one failed here. */
    std::vector<AdapterSlot> slots; /**< Longer than adapterSlots only when the server reports more than that. */
};

} // namespace mimosahollow::scheduling
