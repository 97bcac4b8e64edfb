#include "mimosahollow/dispatch/versions.h"

#include "internal.h"

namespace mimosahollow::dispatch {

void setRequiredVersions(DispatchState &state, std::map<std::string, std::uint64_t> versions, bool isRecent, TimePoint now)
{
    std::erase_if(state.olderVersions, [now](const auto &item) {
        return now >= item.second.until;
    });
    for (const auto &[adapter, version] : versions) {
        const auto known = state.requiredVersions.find(adapter);
        if (known != state.requiredVersions.end() && known->second >= version) {
            continue;
        }
        if (isRecent) {
            // While the time of the version before runs, it goes on: copies older than both must not get another one.
            const std::uint64_t before = known == state.requiredVersions.end() ? 0 : known->second;
            state.olderVersions.try_emplace(adapter, placement::OlderVersions{before, now + placement::olderVersionTime});
        } else {
            state.olderVersions.erase(adapter);
        }
    }
    state.requiredVersions = std::move(versions);
}

NeededVersion neededVersion(const DispatchState &state, const Call &call, TimePoint now)
{
    if (call.adapter.empty()) {
        return {};
    }
    const std::string name = call.model + "/" + call.adapter;
    const auto found = state.requiredVersions.find(name);
    const std::uint64_t required = found == state.requiredVersions.end() ? 0 : found->second;
    const auto older = state.olderVersions.find(name);
    return {required, older != state.olderVersions.end() && now < older->second.until ? older->second.oldest : required};
}

} // namespace mimosahollow::dispatch
