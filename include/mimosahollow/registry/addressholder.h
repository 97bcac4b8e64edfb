#pragma once

#include "mimosahollow/registry/serverrecord.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace mimosahollow::registry {

/** Ids of the servers that have announced an address; without it, each announcement would be compared with all servers. */
using AddressIndex = std::unordered_map<std::string, std::vector<std::string>>;

/** Removes the server of @p record, whose entry is erased. */
inline void releaseAddress(AddressIndex &index, const ServerRecord &record)
{
    const auto ids = index.find(record.address);
    if (ids != index.end() && std::erase(ids->second, record.id) > 0 && ids->second.empty()) {
        index.erase(ids);
    }
}

/**
 * An address belongs to its youngest holder; earlier ones have ended, and a late announcement of one must not come back. Marks those among @p entries, a map
 * by id of structures with a `record`, as gone. Returns false if @p record is itself of an earlier holder. Each record that is not gone has to pass here
 * before it is stored in @p entries.
 */
template<typename Entries>
[[nodiscard]] bool takeAddress(Entries &entries, AddressIndex &index, const ServerRecord &record)
{
    std::vector<std::string> &ids = index[record.address];
    std::erase_if(ids, [&entries, &record](const std::string &id) {
        const auto entry = entries.find(id);
        return id == record.id || entry == entries.end() || entry->second.record.address != record.address;
    });
    bool isYoungest = true;
    for (const std::string &id : ids) {
        ServerRecord &other = entries.find(id)->second.record;
        if (other.state == ServerState::Gone || other.born == record.born) {
            continue;
        }
        if (other.born > record.born) {
            isYoungest = false;
        } else {
            other.state = ServerState::Gone;
        }
    }
    ids.push_back(record.id);
    return isYoungest;
}

} // namespace mimosahollow::registry
