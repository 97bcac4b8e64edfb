#include "mimosahollow/admission/keytable.h"

#include <sodium.h>

#include <algorithm>
#include <bit>

namespace mimosahollow::admission {

namespace {

// Hashes are uniformly distributed, so their leading bytes select the bucket. They cannot be computed without the fleet secret.
std::uint32_t bucketOf(const KeyHash &hash, std::size_t buckets) noexcept
{
    const std::uint32_t leadingBytes = static_cast<std::uint32_t>(hash[0]) << 16U | static_cast<std::uint32_t>(hash[1]) << 8U | hash[2];
    return leadingBytes & static_cast<std::uint32_t>(buckets - 1);
}

// The bucket is selected by three leading bytes.
constexpr std::size_t maximumBuckets = std::size_t{1} << 24U;

} // namespace

KeyTable buildKeyTable(const control::Configuration &configuration)
{
    KeyTable table;
    table.version = configuration.version;
    const std::size_t buckets = std::min(maximumBuckets, std::bit_ceil(configuration.keys.size() + 1));
    table.entries.reserve(configuration.keys.size());
    for (const control::ApiKey &key : configuration.keys) {
        table.entries.push_back({key.hash, key.organisation});
    }
    std::sort(table.entries.begin(), table.entries.end(), [buckets](const KeyTable::Entry &left, const KeyTable::Entry &right) {
        return bucketOf(left.hash, buckets) < bucketOf(right.hash, buckets);
    });
    table.bucketStarts.assign(buckets + 1, 0);
    for (const KeyTable::Entry &entry : table.entries) {
        ++table.bucketStarts[bucketOf(entry.hash, buckets) + 1];
    }
    for (std::size_t i = 1; i <= buckets; ++i) {
        table.bucketStarts[i] += table.bucketStarts[i - 1];
    }
    return table;
}

std::optional<OrganisationId> findKey(const KeyTable &table, const KeyHash &hash) noexcept
{
    if (table.bucketStarts.empty()) {
        return std::nullopt;
    }
    const std::uint32_t bucket = bucketOf(hash, table.bucketStarts.size() - 1);
    std::optional<OrganisationId> found;
    // Compares the whole bucket, so that the run time does not reveal the position of a match.
    for (std::uint32_t i = table.bucketStarts[bucket]; i < table.bucketStarts[bucket + 1]; ++i) {
        const KeyTable::Entry &entry = table.entries[i];
        if (sodium_memcmp(entry.hash.data(), hash.data(), hash.size()) == 0) {
            found = entry.organisation;
        }
    }
    return found;
}

} // namespace mimosahollow::admission
