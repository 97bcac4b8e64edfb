#include "mimosahollow/quarantine/requestname.h"

#include <xxhash.h>

#include <array>
#include <cstdint>
#include <cstdio>

namespace mimosahollow::quarantine {

namespace {

// Ids of prompt parts cannot contain a colon, which separates them from their token counts.
constexpr std::string_view prefix = "request:";

/** The length comes first, so that fields cannot be shifted into each other. */
std::uint64_t hashField(std::string_view field, std::uint64_t seed)
{
    const std::uint64_t length = field.size();
    return XXH3_64bits_withSeed(field.data(), field.size(), XXH3_64bits_withSeed(&length, sizeof length, seed));
}

} // namespace

std::uint64_t requestHash(const RequestIdentity &identity)
{
    std::uint64_t hash = 0;
    for (const std::string_view field : {identity.organisation, identity.method, identity.host, identity.target, identity.body}) {
        hash = hashField(field, hash);
    }
    return hash | requestHashBit;
}

std::string nameOfHash(std::uint64_t hash)
{
    if ((hash & requestHashBit) == 0) {
        return std::to_string(hash);
    }
    std::array<char, 17> digits{};
    std::snprintf(digits.data(), digits.size(), "%016llx", static_cast<unsigned long long>(hash));
    return std::string(prefix) + digits.data();
}

std::string requestName(const RequestIdentity &identity)
{
    return nameOfHash(requestHash(identity));
}

bool isRequestName(std::string_view name) noexcept
{
    return name.starts_with(prefix);
}

} // namespace mimosahollow::quarantine
