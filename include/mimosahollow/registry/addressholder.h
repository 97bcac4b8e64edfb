#pragma once

#include "mimosahollow/registry/serverrecord.h"

namespace mimosahollow::registry {

/**
 * An address belongs to its youngest holder; earlier ones have ended, and a late announcement of one must not come back. Marks those among @p entries, a map
 * by id of structures with a `record`, as gone. Returns false if @p record is itself of an earlier holder.
 */
template<typename Entries>
[[nodiscard]] bool takeAddress(Entries &entries, const ServerRecord &record)
{
    for (auto &[id, entry] : entries) {
        ServerRecord &other = entry.record;
        if (id == record.id || other.address != record.address || other.state == ServerState::Gone) {
            continue;
        }
        if (other.born > record.born) {
            return false;
        }
        if (other.born < record.born) {
            other.state = ServerState::Gone;
        }
    }
    return true;
}

} // namespace mimosahollow::registry
