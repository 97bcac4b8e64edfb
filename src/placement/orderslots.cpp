#include "mimosahollow/placement/orderslots.h"

#include <xxhash.h>

#include <algorithm>

namespace mimosahollow::placement {

namespace {

bool isHeard(const OrderSlots &slots, std::string_view coordinator, TimePoint now)
{
    const auto found = slots.lastHeard.find(coordinator);
    return found != slots.lastHeard.end() && now - found->second <= slots.options.contactTimeout;
}

/** From when on @p slot has certainly got no order of its holder. An order that the holder accepts was sent within the age of its credit. */
TimePoint silentFrom(const OrderSlots &slots, const OrderSlot &slot)
{
    const auto found = slots.lastHeard.find(slot.holder);
    const TimePoint lastHeard = found == slots.lastHeard.end() ? slots.termStart : std::max(slots.termStart, found->second);
    const TimePoint quiet = slot.suspendedSince == TimePoint{} ? TimePoint::max() : slot.suspendedSince;
    return std::min(lastHeard, quiet) + slots.options.maximumCreditAge + slots.options.reassignmentDelay;
}

std::map<std::string_view, unsigned> shares(const OrderSlots &slots, TimePoint now)
{
    std::map<std::string_view, unsigned> counts;
    for (const auto &[name, lastHeard] : slots.lastHeard) {
        if (isHeard(slots, name, now)) {
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
    return !entry.holder.empty() && entry.suspendedSince == TimePoint{} && isHeard(slots, entry.holder, now);
}

std::optional<SlotAssignment> planAssignment(OrderSlots &slots, TimePoint now)
{
    auto counts = shares(slots, now);
    if (counts.empty() || slots.assignmentPending) {
        return std::nullopt;
    }
    const bool isFirst = std::all_of(slots.slots.begin(), slots.slots.end(), [](const OrderSlot &slot) {
        return slot.holder.empty();
    });
    if (isFirst && now - slots.termStart < slots.options.firstAssignmentDelay) {
        return std::nullopt;
    }
    // Slots without a holder that can send: one assignment a time, to the coordinator with the fewest.
    const auto emptiest = std::min_element(counts.begin(), counts.end(), fewerSlots);
    const unsigned share = std::max(orderSlotCount / static_cast<unsigned>(counts.size()), emptiest->second + 1);
    SlotAssignment assignment{std::string(emptiest->first), {}};
    for (unsigned number = 0; number < slots.slots.size(); ++number) {
        const OrderSlot &slot = slots.slots[number];
        const bool isFree = slot.holder.empty() || (!canSendOrders(slots, number, now) && now >= silentFrom(slots, slot));
        if (isFree && emptiest->second + assignment.slots.size() < share) {
            assignment.slots.push_back(number);
        }
    }
    if (!assignment.slots.empty()) {
        return assignment;
    }
    // A coordinator that came back takes one slot after the other, each quiet for the lease of its earlier holder.
    const auto fullest = std::max_element(counts.begin(), counts.end(), fewerSlots);
    const bool anyQuiet = std::any_of(slots.slots.begin(), slots.slots.end(), [](const OrderSlot &slot) {
        return slot.suspendedSince != TimePoint{};
    });
    if (!anyQuiet && fullest->second > emptiest->second + 1) {
        const auto slot = std::find_if(slots.slots.begin(), slots.slots.end(), [&fullest](const OrderSlot &entry) {
            return entry.holder == fullest->first;
        });
        slot->suspendedSince = now;
    }
    return std::nullopt;
}

} // namespace mimosahollow::placement
