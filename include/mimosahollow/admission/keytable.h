#pragma once

#include "mimosahollow/control/configuration.h"
#include "mimosahollow/core/keyhash.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mimosahollow::admission {

/** Hash table of the valid API keys. Immutable; a configuration change builds a new one. */
struct KeyTable
{
    struct Entry
    {
        KeyHash hash{};
        OrganisationId organisation{};
    };
    Version version = 0; /**< Version of the configuration that it was built from. */
    std::vector<Entry> entries; /**< Sorted by bucket. */
    std::vector<std::uint32_t> bucketStarts; /**< Index of the first entry of each bucket, followed by the number of entries. */
};

[[nodiscard]] KeyTable buildKeyTable(const control::Configuration &configuration);

/** Returns the organisation of the key; empty when the key is unknown or withdrawn. Hashes are compared in constant time. */
[[nodiscard]] std::optional<OrganisationId> findKey(const KeyTable &table, const KeyHash &hash) noexcept;

} // namespace mimosahollow::admission
