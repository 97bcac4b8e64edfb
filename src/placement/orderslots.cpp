#include "mimosahollow/placement/orderslots.h"

#include <xxhash.h>

#include <algorithm>

namespace mimosahollow::placement {

namespace {

bool isReachable(const OrderSlots &slots, std::string_view coordinator, TimePoint now)
{
    const auto found = slots.lastHeard.find(coordinator);
    return found != slots.lastHeard.end() && now - found->second <= slots.options.contactTimeout;
}

/**
 * Time from which on no order of the current holder of @p slot can still arrive. A holder only forwards orders while its credit is
 * younger than maximumCreditAge.
 */
TimePoint earliestReassignment(const OrderSlots &slots, const OrderSlot &slot)
{
    const auto found = slots.lastHeard.find(slot.holder);
    const TimePoint lastHeard = found == slots.lastHeard.end() ? slots.termStart : std::max(slots.termStart, found->second);
    const TimePoint suspended = slot.suspendedSince == TimePoint{} ? TimePoint::max() : slot.suspendedSince;
    return std::min(lastHeard, suspended) + slots.options.maximumCreditAge + slots.options.reassignmentDelay;
}

std::map<std::string_view, unsigned> slotCounts(const OrderSlots &slots, TimePoint now)
{
    std::map<std::string_view, unsigned> counts;
    for (const auto &[name, lastHeard] : slots.lastHeard) {
        if (isReachable(slots, name, now)) {
            counts[name] = 0;
        }
    }
    for (const OrderSlot &slot : slots.slots) {
        if (const auto found = counts.find(slot.holder); found != counts.end()) {
            ++found->second;
        }
    }
    return counts;
}

constexpr auto fewerSlots = [](const auto &left, const auto &right) {
    return left.second < right.second;
};

} // namespace

unsigned orderSlotFor(std::string_view server) noexcept
{
    return static_cast<unsigned>(XXH3_64bits(server.data(), server.size()) % orderSlotCount);
}

void recordCredit(OrderSlots &slots, std::string_view coordinator, TimePoint now)
{
    slots.lastHeard.insert_or_assign(std::string(coordinator), now);
}

bool canSendOrders(const OrderSlots &slots, unsigned slot, TimePoint now)
{
    const OrderSlot &entry = slots.slots.at(slot);
    return !entry.holder.empty() && entry.suspendedSince == TimePoint{} && isReachable(slots, entry.holder, now);
}

std::optional<SlotAssignment> planAssignment(OrderSlots &slots, TimePoint now)
{
    auto counts = slotCounts(slots, now);
    if (counts.empty() || slots.assignmentPending) {
        return std::nullopt;
    }
    const bool isFirst = std::all_of(slots.slots.begin(), slots.slots.end(), [](const OrderSlot &slot) {
        return slot.holder.empty();
    });
    if (isFirst && now - slots.termStart < slots.options.firstAssignmentDelay) {
        return std::nullopt;
    }
    // Slots without a reachable holder go to the coordinator with the fewest slots, one assignment at a time.
    const auto fewestSlots = std::min_element(counts.begin(), counts.end(), fewerSlots);
    const unsigned share = std::max(orderSlotCount / static_cast<unsigned>(counts.size()), fewestSlots->second + 1);
    SlotAssignment assignment{std::string(fewestSlots->first), {}};
    for (unsigned number = 0; number < slots.slots.size(); ++number) {
        const OrderSlot &slot = slots.slots[number];
        const bool isFree = slot.holder.empty() || (!canSendOrders(slots, number, now) && now >= earliestReassignment(slots, slot));
        if (isFree && fewestSlots->second + assignment.slots.size() < share) {
            assignment.slots.push_back(number);
        }
    }
    if (!assignment.slots.empty()) {
        return assignment;
    }
    // Balances the slots after a coordinator has returned, one at a time. Each is suspended first, until the lease of its holder has expired.
    const auto mostSlots = std::max_element(counts.begin(), counts.end(), fewerSlots);
    const bool anySuspended = std::any_of(slots.slots.begin(), slots.slots.end(), [](const OrderSlot &slot) {
        return slot.suspendedSince != TimePoint{};
    });
    if (!anySuspended && mostSlots->second > fewestSlots->second + 1) {
        const auto slot = std::find_if(slots.slots.begin(), slots.slots.end(), [&mostSlots](const OrderSlot &entry) {
            return entry.holder == mostSlots->first;
        });
        slot->suspendedSince = now;
    }
    return std::nullopt;
}

} // namespace mimosahollow::placement
