#pragma once

#include "mimosahollow/admission/bucketowner.h"

#include <utility>

namespace mimosahollow::admission {

using BucketEntry = std::pair<const AccountId, Bucket>;

/** Upper limit of the tokens in the bucket and its leases together. */
[[nodiscard]] Tokens capacity(const BucketOwner &owner, const Bucket &bucket);

/** Tokens that the holder may still have according to its last report. */
[[nodiscard]] Tokens held(const HolderAccount &lease);

/** Refills to the capacity less outstanding tokens and reserved capacity. Must run before `outstanding` changes. */
void refill(const BucketOwner &owner, Bucket &bucket, TimePoint now);

/** Makes the next sendChanges() include the account in a grant to the holder. */
void markChanged(BucketOwner &owner, std::uint64_t process, AccountId account, HolderAccount &lease);

/** Serves a new request. Unmet needs of all holders are served first, prefetching last. */
void serveRequest(BucketOwner &owner, BucketEntry &entry, HolderAccount &lease, TimePoint now);

/** Serves unmet needs by priority and recalls tokens for the first that remains. Grants are rate-limited unless @p atOnce. */
void serveWaiting(BucketOwner &owner, BucketEntry &entry, bool atOnce, TimePoint now);

/** Times out unanswered transfer requests and sends one to the next peer. */
void requestTransfers(BucketOwner &owner, TimePoint now, BucketActions &out);

/** Appends one grant for each holder with changed accounts, and one for @p requester in any case. */
void sendChanges(BucketOwner &owner, const Holder *requester, std::vector<TokenGrant> &out);

} // namespace mimosahollow::admission
