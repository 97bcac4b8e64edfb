#pragma once

#include "mimosahollow/core/time.h"
#include "mimosahollow/registry/addressholder.h"
#include "mimosahollow/registry/serverrecord.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mimosahollow::registry {

struct RegistryOptions
{
    Duration silenceLimit = milliseconds(6000); /**< Five announcements may be late or lost. */
    Duration tombstoneAge = seconds(60); /**< Far above the seconds that an announcement can be late. */
};

struct RegistryEntry
{
    ServerRecord record;
    TimePoint heard{}; /**< When the newest announcement arrived. */
};

/** Backend servers by id, as far as their announcements are known here. */
struct ServerRegistry
{
    RegistryOptions options;
    std::map<std::string, RegistryEntry, std::less<>> entries;
    AddressIndex addresses; /**< Of @c entries. */
};

enum class MergeOutcome : std::uint8_t {
    Changed, /**< Others need to know. */
    Refreshed, /**< Only the time and the sequence are newer. */
    Stale, /**< Older than what is known; dropped. */
};

/** Takes @p record, heard at @p now from the backend server itself or from another instance. */
MergeOutcome merge(ServerRegistry &registry, ServerRecord record, TimePoint now);

/** The backend server says that it leaves. Returns its record as the others need it; nothing when it was gone already. */
std::optional<ServerRecord> remove(ServerRegistry &registry, std::string_view id, TimePoint now);

/** Marks what was silent for too long as gone, and forgets old tombstones. Returns the records that changed. */
std::vector<ServerRecord> expire(ServerRegistry &registry, TimePoint now);

} // namespace mimosahollow::registry
