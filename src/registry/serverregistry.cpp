#include "mimosahollow/registry/serverregistry.h"

#include <xxhash.h>

#include <utility>

namespace mimosahollow::registry {

namespace {

/** Whether @p record says more than @p known about the same id. */
bool isNewer(const ServerRecord &record, const ServerRecord &known)
{
    if (record.born != known.born) {
        return record.born > known.born;
    }
    // An announcement that was sent before the server left may arrive after its departure.
    if (known.state == ServerState::Gone && record.state != ServerState::Gone) {
        return record.sequence > known.sequence && known.sequence != departedSequence;
    }
    return record.sequence > known.sequence || (record.sequence == known.sequence && record.state > known.state);
}

bool differs(const ServerRecord &left, const ServerRecord &right)
{
    ServerRecord same = right;
    same.sequence = left.sequence;
    // A shrinking cold time is no news; its beginning is.
    if (left.coldMilliseconds <= right.coldMilliseconds) {
        same.coldMilliseconds = left.coldMilliseconds;
    }
    return left != same;
}

} // namespace

std::uint32_t serverKey(std::string_view id) noexcept
{
    return XXH32(id.data(), id.size(), 0);
}

MergeOutcome merge(ServerRegistry &registry, ServerRecord record, TimePoint now)
{
    if (!takeAddress(registry.entries, registry.addresses, record)) {
        return MergeOutcome::Stale;
    }
    const auto known = registry.entries.find(record.id);
    if (known == registry.entries.end()) {
        std::string id = record.id;
        registry.entries.emplace(std::move(id), RegistryEntry{std::move(record), now});
        return MergeOutcome::Changed;
    }
    if (!isNewer(record, known->second.record)) {
        return MergeOutcome::Stale;
    }
    const bool changed = differs(record, known->second.record);
    known->second = {std::move(record), now};
    return changed ? MergeOutcome::Changed : MergeOutcome::Refreshed;
}

std::optional<ServerRecord> remove(ServerRegistry &registry, std::string_view id, TimePoint now)
{
    const auto known = registry.entries.find(id);
    if (known == registry.entries.end()) {
        return std::nullopt;
    }
    ServerRecord &record = known->second.record;
    if (record.state == ServerState::Gone && record.sequence == departedSequence) {
        return std::nullopt;
    }
    record.state = ServerState::Gone;
    record.sequence = departedSequence;
    known->second.heard = now;
    return record;
}

std::vector<ServerRecord> expire(ServerRegistry &registry, TimePoint now)
{
    std::vector<ServerRecord> expired;
    for (auto entry = registry.entries.begin(); entry != registry.entries.end();) {
        const Duration silence = now - entry->second.heard;
        ServerRecord &record = entry->second.record;
        if (record.state != ServerState::Gone && silence > registry.options.silenceLimit) {
            record.state = ServerState::Gone;
            expired.push_back(record);
        }
        const bool isForgotten = record.state == ServerState::Gone && silence > registry.options.tombstoneAge;
        if (isForgotten) {
            releaseAddress(registry.addresses, record);
        }
        entry = isForgotten ? registry.entries.erase(entry) : std::next(entry);
    }
    return expired;
}

} // namespace mimosahollow::registry
