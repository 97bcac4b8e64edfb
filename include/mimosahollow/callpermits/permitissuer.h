#pragma once

#include "mimosahollow/core/time.h"

#include <cstdint>
#include <map>
#include <string>

namespace mimosahollow::callpermits {

/** What an incarnation of a backend server has named as its limit. */
struct StatedLimit
{
    std::string server;
    std::uint64_t born = 0; /**< Incarnation. */
    double callsPerSecond = 0; /**< From all entry instances together; 0: no limit. */
};

/** Permits of one backend server; they accrue at its limit. */
struct PermitBucket
{
    std::uint64_t born = 0;
    double callsPerSecond = 0; /**< 0: no limit. */
    TimePoint statedAt{};
    double permits = 0;
    TimePoint updatedAt{};
};

struct PermitIssuerOptions
{
    Duration burst = milliseconds(500); /**< Permits of this time can be issued at once, and one at least. */
    Duration memory = seconds(30); /**< An ended limit is kept for this long, so that an older statement does not bring it back. */
};

/** Permits of the leader for calls to backend servers that have named a limit. All entry instances obtain theirs from it. */
struct PermitIssuer
{
    PermitIssuerOptions options;
    std::map<std::string, PermitBucket> buckets; /**< By server. */
};

/** Applies a statement made at @p statedAt, unless a newer one is known. Returns whether the limit of the server has changed. */
bool applyStatement(PermitIssuer &issuer, const StatedLimit &stated, TimePoint statedAt, TimePoint now);

/** Issues up to @p wanted permits; none for a server without a limit, which needs none. */
[[nodiscard]] unsigned issue(PermitIssuer &issuer, const std::string &server, unsigned wanted, TimePoint now);

/** Credits permits that an entry instance has not used. */
void takeBack(PermitIssuer &issuer, const std::string &server, unsigned permits, TimePoint now);

/** Forgets the limits that ended long ago. */
void forgetEnded(PermitIssuer &issuer, TimePoint now);

} // namespace mimosahollow::callpermits
