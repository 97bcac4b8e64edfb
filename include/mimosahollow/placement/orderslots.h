#pragma once

#include "mimosahollow/core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mimosahollow::placement {

/** Number of slots into which engines are hashed. Each slot has one holder, the coordinator that sends orders to the engines of the slot. */
constexpr unsigned orderSlotCount = 16; // 2 to 5 slots for each of 3 to 6 coordinators, which keeps the shares even

/** Order slot of the engine with id @p server. */
[[nodiscard]] unsigned orderSlotFor(std::string_view server) noexcept;

struct OrderSlotOptions
{
    Duration reassignmentDelay = milliseconds(3100); /**< A slot is reassigned only after its previous holder has sent nothing for its lease of 3 s. */
    /** A holder forwards an order only while its last credit is younger than this, so that orders delayed in transit are dropped. */
    Duration maximumCreditAge = milliseconds(1000);
    Duration contactTimeout = milliseconds(700); /**< A holder gets no orders once the leader has received no credit for this time, three credit intervals. */
    Duration firstAssignmentDelay = milliseconds(500); /**< After the term start; coordinators that start together connect within this time. */
};

struct OrderSlot
{
    std::string holder; /**< Coordinator; empty while unassigned. */
    std::uint64_t fencingNumber = 0; /**< Increases with each assignment. */
    TimePoint suspendedSince{}; /**< No orders are sent from then on, because the slot is to be reassigned; unset: not suspended. */
};

/** Assignment of order slots to coordinators, as the leader sees it. */
struct OrderSlots
{
    OrderSlotOptions options;
    TimePoint termStart{}; /**< Start of the leader's term. */
    std::vector<OrderSlot> slots = std::vector<OrderSlot>(orderSlotCount);
    std::map<std::string, TimePoint, std::less<>> lastHeard; /**< Time of the last credit of each coordinator, by name. */
    bool assignmentPending = false; /**< An assignment is being replicated; the next one waits for it. */
};

/** Records a credit of @p coordinator: it can send orders, and drops those that arrive later than maximumCreditAge after @p now. */
void recordCredit(OrderSlots &slots, std::string_view coordinator, TimePoint now);

/** Whether the slot has a reachable holder and is not suspended. */
[[nodiscard]] bool canSendOrders(const OrderSlots &slots, unsigned slot, TimePoint now);

/** New holder of slots, for the replicated log. */
struct SlotAssignment
{
    std::string holder;
    std::vector<unsigned> slots;
};

/**
 * Returns the next assignment, if one is due. May suspend a slot to even out the shares.
 *
 * Slots are spread over all coordinators so that a leader failure stops orders only to the engines of its own slots. With the leader
 * as the only holder, no adapter would be loaded for the lease of 3 s, and the weight store would need another 10 s for the backlog.
 */
[[nodiscard]] std::optional<SlotAssignment> planAssignment(OrderSlots &slots, TimePoint now);

} // namespace mimosahollow::placement
