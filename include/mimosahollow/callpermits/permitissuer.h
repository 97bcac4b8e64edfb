#pragma once

#include "mimosahollow/callpermits/permitbucket.h"
#include "mimosahollow/core/time.h"

#include <cstdint>
#include <map>
#include <string>

namespace mimosahollow::callpermits {

/**
 * An entry instance without a confirmed report for this long uses its even share of the limits, and the leader issues that share no more. Above the
 * interval of an idle instance's reports, 500 ms, and the time of an answer.
 */
inline constexpr Duration contactTimeout = milliseconds(800);

/** What an incarnation of a backend server has named as its limit. */
struct StatedLimit
{
    std::string server;
    std::uint64_t born = 0; /**< Incarnation. */
    double callsPerSecond = 0; /**< From all entry instances together; 0: no limit. */
};

/** Permits for one backend server, and the statement that set its limit. */
struct ServerPermits : PermitBucket
{
    std::uint64_t born = 0;
    double statedLimit = 0; /**< Permits accrue at the issued share of it. */
    TimePoint statedAt{};
};

struct PermitIssuerOptions
{
    Duration memory = seconds(30); /**< An ended limit is kept for this long, so that an older statement does not bring it back. */
};

/** Permits of the leader for calls to backend servers that have named a limit. All entry instances obtain theirs from it. */
struct PermitIssuer
{
    PermitIssuerOptions options;
    double issuedShare = 1; /**< Issued part of each limit; entry instances that do not reach the leader use the rest. */
    std::map<std::string, ServerPermits> buckets; /**< By server. */
};

/** Applies a statement made at @p statedAt, unless a newer one is known. Returns whether the limit of the server has changed. */
bool applyStatement(PermitIssuer &issuer, const StatedLimit &stated, TimePoint statedAt, TimePoint now);

/** Changes the issued part of each limit to @p share, from 0 to 1. */
void setIssuedShare(PermitIssuer &issuer, double share, TimePoint now);

/** Issues up to @p wanted permits; none for a server without a limit, which needs none. */
[[nodiscard]] unsigned issue(PermitIssuer &issuer, const std::string &server, unsigned wanted, TimePoint now);

/** Credits permits that an entry instance has not used. */
void takeBack(PermitIssuer &issuer, const std::string &server, unsigned permits, TimePoint now);

/** Forgets the limits that ended long ago. */
void forgetEnded(PermitIssuer &issuer, TimePoint now);

} // namespace mimosahollow::callpermits
