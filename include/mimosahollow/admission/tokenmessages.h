#pragma once

#include "mimosahollow/admission/tokens.h"
#include "mimosahollow/core/ids.h"

#include <cstdint>
#include <vector>

namespace mimosahollow::admission {

/**
 * Identifies a message of a quota lease. All amounts of a session are totals since its start, so that the newest message
 * replaces every earlier one and duplicated, late and lost messages are harmless.
 */
struct LeaseSession
{
    DomainId domain{}; /**< Failure domain of the bucket. */
    FencingNumber epoch = 0; /**< Fencing number of the bucket owner's lease. */
    InstanceId holder{};
    std::uint64_t process = 0; /**< Random start number of the holder's process. */
    std::uint64_t session = 0; /**< Grows with each session that the process opens with this bucket. */
    std::uint64_t sequence = 0; /**< Of the holder's messages in the session; a grant repeats the newest one that it answers. */

    friend bool operator==(const LeaseSession &, const LeaseSession &) = default;
};

/** What a holder has done with its tokens of one account: totals since the start of the session. */
struct LeaseUse
{
    AccountId account{};
    Tokens spent = 0;
    Tokens returned = 0;
    Tokens refunded = 0; /**< Unused reservations that were already reported as spent. */

    friend bool operator==(const LeaseUse &, const LeaseUse &) = default;
};

/** What a holder wants to hold in one account. */
struct LeaseWish
{
    LeaseUse use;
    Tokens need = 0; /**< For calls that wait now; includes what the holder has. */
    Tokens target = 0; /**< need and what is asked ahead. */
    std::uint64_t priority = 0; /**< Of the first waiting call; higher is served first and may recall the tokens of others. */

    friend bool operator==(const LeaseWish &, const LeaseWish &) = default;
};

/** Holder to bucket owner. Also renews the lease of all accounts of the session. */
struct TokenRequest
{
    LeaseSession session;
    std::vector<LeaseWish> wishes;

    friend bool operator==(const TokenRequest &, const TokenRequest &) = default;
};

/** Holder to bucket owner: use and returns without a wish. Needs no answer and renews nothing. */
struct TokenReport
{
    LeaseSession session;
    bool closing = false; /**< The holder gives up the session; what it did not report as returned counts as spent. */
    std::vector<LeaseUse> uses;

    friend bool operator==(const TokenReport &, const TokenReport &) = default;
};

struct GrantItem
{
    AccountId account{};
    Tokens granted = 0; /**< Total since the start of the session. */
    Tokens reachable = 0; /**< In the bucket and in leases of other holders. */
    Tokens unmet = 0; /**< Part of the holder's need that the bucket could not give yet. */
    std::uint64_t recall = 0; /**< Not 0: return what is not for a waiting call of at least this priority. */

    friend bool operator==(const GrantItem &, const GrantItem &) = default;
};

/** Bucket owner to holder. Valid for `validFor` from the time the holder sent the message with the session's sequence. */
struct TokenGrant
{
    LeaseSession session;
    Duration validFor = quotaLease;
    Version configuration = 0; /**< Of the bucket owner; tokens granted before a capacity was lowered are not used after it. */
    std::vector<GrantItem> items;

    friend bool operator==(const TokenGrant &, const TokenGrant &) = default;
};

} // namespace mimosahollow::admission
