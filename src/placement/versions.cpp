#include "internal.h"
#include "mimosahollow/placement/placement.h"

namespace mimosahollow::placement {

namespace {

/** Null if calls for @p key may not use older copies. */
const OlderVersions *findOlderVersions(const PlacementState &state, const AdapterKey &key, TimePoint now)
{
    if (state.olderVersions.empty()) {
        return nullptr;
    }
    const auto found = state.olderVersions.find(key.model + "/" + key.adapter);
    return found == state.olderVersions.end() || now >= found->second.until ? nullptr : &found->second;
}

} // namespace

bool setRequiredVersions(PlacementState &state, const std::map<std::string, std::uint64_t> &versions, TimePoint now)
{
    bool anyRisen = false;
    std::erase_if(state.olderVersions, [now](const auto &item) {
        return now >= item.second.until;
    });
    for (const auto &[name, version] : versions) {
        std::uint64_t &required = state.requiredVersions[name];
        if (version <= required) {
            continue;
        }
        if (state.hasVersions) {
            state.olderVersions.try_emplace(name, OlderVersions{required, now + olderVersionTime});
        }
        required = version;
        anyRisen = true;
    }
    state.hasVersions = true;
    return anyRisen;
}

bool hasOlderVersions(const PlacementState &state, const AdapterKey &key, TimePoint now)
{
    return findOlderVersions(state, key, now) != nullptr;
}

bool acceptsVersion(const PlacementState &state, const AdapterKey &key, std::uint64_t version, TimePoint now)
{
    const OlderVersions *older = findOlderVersions(state, key, now);
    return version >= (older == nullptr ? requiredVersion(state, key) : older->oldest);
}

std::uint64_t requiredVersion(const PlacementState &state, const AdapterKey &key)
{
    const auto found = state.requiredVersions.find(key.model + "/" + key.adapter);
    return found == state.requiredVersions.end() ? 0 : found->second;
}

} // namespace mimosahollow::placement
