#include "mimosahollow/fleetstate/fleetstate.h"

#include "mimosahollow/fleetstate/fleetcommand.h"

#include <algorithm>
#include <utility>

namespace mimosahollow::fleetstate {

namespace {

constexpr std::size_t maximumQuarantinedParts = 64; // each is compared with every call; the oldest is released first
constexpr std::size_t keptUsageWindows = 16; // 80 s with windows of 5 s; the platform wants reports within 10 s
constexpr std::uint32_t maximumOrderSlots = 1024; // bounds what a damaged entry of the log can allocate

bool putCatalog(FleetState &state, const FleetCommand &command)
{
    // The highest version rules; an equal one is a resend, or another operator's change that lost the race.
    if (state.catalogText && command.version <= state.catalogVersion) {
        return false;
    }
    state.catalogVersion = command.version;
    state.catalogText = std::make_shared<const std::string>(command.text);
    return true;
}

bool nameAdapterVersion(FleetState &state, const FleetCommand &command)
{
    std::uint64_t &version = state.adapterVersions[command.subject];
    if (command.version <= version) {
        return false;
    }
    version = command.version;
    return true;
}

bool takeOrders(FleetState &state, control::LogIndex index, const FleetCommand &command)
{
    for (const std::uint32_t slot : command.slots) {
        if (slot >= maximumOrderSlots) {
            continue;
        }
        state.orderHolders.resize(std::max<std::size_t>(state.orderHolders.size(), slot + 1));
        state.orderHolders[slot] = {command.subject, index};
    }
    return !command.slots.empty();
}

bool quarantinePart(FleetState &state, control::LogIndex index, const FleetCommand &command)
{
    if (command.subject.empty() || !state.quarantinedParts.try_emplace(command.subject, index).second) {
        return false;
    }
    if (state.quarantinedParts.size() > maximumQuarantinedParts) {
        state.quarantinedParts.erase(std::min_element(state.quarantinedParts.begin(), state.quarantinedParts.end(), [](const auto &left, const auto &right) {
            return left.second < right.second;
        }));
    }
    return true;
}

bool takeDuty(FleetState &state, control::LogIndex index, const FleetCommand &command)
{
    DutyHolder &holder = state.dutyHolders[command.subject];
    // A repeated command must not change the number: calls with the lower one may be on their way.
    if (holder.name == command.text) {
        return false;
    }
    holder = {command.text, index, std::move(holder.name)};
    return true;
}

bool fixUsage(FleetState &state, const FleetCommand &command)
{
    // Counts of a window that was fixed may have reached the platform, also those of a window that is no longer kept.
    if (command.version <= state.fixedWindow) {
        return false;
    }
    state.fixedWindow = command.version;
    state.fixedUsage[command.version] = {command.counts, false};
    if (state.fixedUsage.size() > keptUsageWindows) {
        state.fixedUsage.erase(state.fixedUsage.begin());
    }
    return true;
}

bool markUsageSent(FleetState &state, const FleetCommand &command)
{
    const auto found = state.fixedUsage.find(command.version);
    if (found == state.fixedUsage.end() || found->second.isSent) {
        return false;
    }
    found->second.isSent = true;
    return true;
}

} // namespace

bool apply(FleetState &state, control::LogIndex index, const FleetCommand &command)
{
    state.index = index;
    switch (command.kind) {
    case CommandKind::PutCatalog:
        return putCatalog(state, command);
    case CommandKind::EvacuateDomain:
        return state.evacuatedDomains.insert(command.subject).second;
    case CommandKind::ReturnDomain:
        return state.evacuatedDomains.erase(command.subject) != 0;
    case CommandKind::TakeOrders:
        return takeOrders(state, index, command);
    case CommandKind::NameAdapterVersion:
        return nameAdapterVersion(state, command);
    case CommandKind::QuarantinePart:
        return quarantinePart(state, index, command);
    case CommandKind::ReleasePart:
        return state.quarantinedParts.erase(command.subject) != 0;
    case CommandKind::TakeDuty:
        return takeDuty(state, index, command);
    case CommandKind::FixUsage:
        return fixUsage(state, command);
    case CommandKind::UsageSent:
        return markUsageSent(state, command);
    }
    return false;
}

} // namespace mimosahollow::fleetstate
