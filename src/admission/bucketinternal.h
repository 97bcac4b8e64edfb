#pragma once

#include "mimosahollow/admission/bucketowner.h"

#include <utility>

namespace mimosahollow::admission {

using BucketEntry = std::pair<const AccountId, Bucket>;

/** Most tokens that the bucket and its leases may hold together. */
[[nodiscard]] Tokens capacity(const BucketOwner &owner, const Bucket &bucket);

/** Tokens that the holder may still have, as far as the owner knows. */
[[nodiscard]] Tokens held(const HolderAccount &lease);

/** Fills up to the capacity without the outstanding tokens. Must run before `outstanding` changes. */
void refill(const BucketOwner &owner, Bucket &bucket, TimePoint now);

/** Makes the next sendChanges() tell the holder about the account. */
void markChanged(BucketOwner &owner, std::uint64_t process, AccountId account, HolderAccount &lease);

/** Serves a wish that has just arrived: needs of others come first, tokens asked ahead last. */
void serveRequest(BucketOwner &owner, BucketEntry &entry, HolderAccount &lease, TimePoint now);

/** Serves unmet needs by priority and recalls tokens for the first that remains. Grants are spaced unless @p atOnce. */
void serveWaiting(BucketOwner &owner, BucketEntry &entry, bool atOnce, TimePoint now);

/** Ends unanswered requests and asks the next peer for a transfer. */
void requestTransfers(BucketOwner &owner, TimePoint now, BucketActions &out);

/** Adds one grant for each holder with changed accounts; @p requester gets one in any case. */
void sendChanges(BucketOwner &owner, const Holder *requester, std::vector<TokenGrant> &out);

} // namespace mimosahollow::admission
