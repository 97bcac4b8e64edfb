#pragma once

#include "mimosahollow/admission/tokens.h"
#include "mimosahollow/core/ids.h"

#include <cstdint>
#include <vector>

namespace mimosahollow::admission {

/**
 * Identifies a quota lease session and a message in it. All amounts are totals since the start of the session, so that the latest
 * message supersedes the earlier ones, and lost, duplicated and delayed messages do no harm.
 */
struct LeaseSession
{
    DomainId domain{}; /**< Failure domain of the bucket. */
    FencingNumber epoch = 0; /**< Fencing number of the bucket owner's lease. */
    InstanceId holder{};
    std::uint64_t process = 0; /**< Random number that identifies the holder's process; chosen at its start. */
    std::uint64_t session = 0; /**< Increases with each session that the process opens. */
    std::uint64_t sequence = 0; /**< Number of the holder's message; a grant repeats that of the latest message it answers. */

    friend bool operator==(const LeaseSession &, const LeaseSession &) = default;
};

/** Use of the tokens of one account by a holder: totals since the start of the session. */
struct LeaseUse
{
    AccountId account{};
    Tokens spent = 0;
    Tokens returned = 0;
    Tokens refunded = 0; /**< Unused part of reservations that were already reported as spent. */

    friend bool operator==(const LeaseUse &, const LeaseUse &) = default;
};

/** Tokens that a holder requests for one account. */
struct LeaseWish
{
    LeaseUse use;
    Tokens need = 0; /**< Tokens to hold for the waiting calls; includes those already held. */
    Tokens target = 0; /**< Tokens to hold in all: need and prefetched tokens. */
    std::uint64_t priority = 0; /**< Priority of the first waiting call; higher is served first and may recall tokens of other holders. */

    friend bool operator==(const LeaseWish &, const LeaseWish &) = default;
};

/** Holder to bucket owner: requests tokens and renews the lease of all accounts of the session. */
struct TokenRequest
{
    LeaseSession session;
    std::vector<LeaseWish> wishes;

    friend bool operator==(const TokenRequest &, const TokenRequest &) = default;
};

/** Holder to bucket owner: reports use and returns without a request. Needs no answer and does not renew the lease. */
struct TokenReport
{
    LeaseSession session;
    bool closing = false; /**< The holder ends the session; tokens that it did not report as returned count as spent. */
    std::vector<LeaseUse> uses;

    friend bool operator==(const TokenReport &, const TokenReport &) = default;
};

/** Grant for one account. */
struct GrantItem
{
    AccountId account{};
    Tokens granted = 0; /**< Total since the start of the session. */
    Tokens reachable = 0; /**< Tokens in the bucket and in leases of other holders. */
    Tokens unmet = 0; /**< Part of the holder's need that is not granted yet. */
    std::uint64_t recall = 0; /**< Not 0: the holder returns its tokens unless it has a waiting call of higher priority. */

    friend bool operator==(const GrantItem &, const GrantItem &) = default;
};

/** Bucket owner to holder. Valid for `validFor` from the time at which the holder sent the message with this sequence number. */
struct TokenGrant
{
    LeaseSession session;
    Duration validFor = quotaLease;
    Version configuration = 0; /**< Configuration version of the bucket owner; a holder does not use tokens granted before a capacity was lowered. */
    std::vector<GrantItem> items;

    friend bool operator==(const TokenGrant &, const TokenGrant &) = default;
};

} // namespace mimosahollow::admission
