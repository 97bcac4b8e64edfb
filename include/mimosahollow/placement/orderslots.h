#pragma once

#include "mimosahollow/core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mimosahollow::placement {

/** Engines are divided into so many slots, each with one holder: the coordinator that sends orders to its engines. */
constexpr unsigned orderSlotCount = 16; // two to five for each of 3 to 6 coordinators, so that shares differ little

/** Slot of the engine with id @p server. */
[[nodiscard]] unsigned orderSlotFor(std::string_view server) noexcept;

struct OrderSlotOptions
{
    Duration reassignmentDelay = milliseconds(3100); /**< A new holder waits until the earlier one has been silent for its lease of 3 s. */
    /** A holder sends an order only while the leader has heard it within this time, so an order that was held up on its way is dropped. */
    Duration maximumCreditAge = milliseconds(1000);
    Duration contactTimeout = milliseconds(700); /**< A holder that the leader has not heard for so long gets no orders; three of its credits. */
    Duration firstAssignmentDelay = milliseconds(500); /**< Coordinators that start together connect within this time. */
};

struct OrderSlot
{
    std::string holder; /**< Empty: nobody yet. */
    std::uint64_t fencingNumber = 0; /**< Grows with each holder. */
    TimePoint suspendedSince{}; /**< No orders from then on, since the slot is to change its holder; unset: orders may be sent. */
};

/** The leader's view of who sends orders. */
struct OrderSlots
{
    OrderSlotOptions options;
    TimePoint termStart{}; /**< Of the leader's term. */
    std::vector<OrderSlot> slots = std::vector<OrderSlot>(orderSlotCount);
    std::map<std::string, TimePoint, std::less<>> lastHeard; /**< When each coordinator was heard last, by name. */
    bool assignmentPending = false; /**< A change of holders is under way; the next one waits for it. */
};

/** @p coordinator can send orders; its promise to drop old ones counts from now. */
void recordCredit(OrderSlots &slots, std::string_view coordinator, TimePoint now);

/** Whether orders can be sent to the engines of @p slot. */
[[nodiscard]] bool canSendOrders(const OrderSlots &slots, unsigned slot, TimePoint now);

/** A change of holders for the replicated log. */
struct SlotAssignment
{
    std::string holder;
    std::vector<unsigned> slots;
};

/**
 * The next change of holders, if one is due.
 *
 * Load pattern: the leader is lost at the worst moment. Were it the only holder, no adapter would be loaded for the lease of 3 s, and the
 * backlog would take the store another ten; so the other coordinators hold engines too and go on at the word of the next leader.
 */
[[nodiscard]] std::optional<SlotAssignment> planAssignment(OrderSlots &slots, TimePoint now);

} // namespace mimosahollow::placement
