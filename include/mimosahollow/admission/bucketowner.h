#pragma once

#include "mimosahollow/admission/tokenmessages.h"
#include "mimosahollow/control/configuration.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace mimosahollow::admission {

/** Bucket of one account in one failure domain. Invariant: level + outstanding <= burst x share. */
struct Bucket
{
    Tokens rate = 0; /**< Fleet-wide, tokens per second. */
    Tokens burst = 0; /**< Fleet-wide. */
    Tokens level = 0;
    Tokens outstanding = 0; /**< Handed out and not yet reported as spent or returned. */
    Tokens refundsCredited = 0; /**< Total; a refund beyond the capacity is lost. */
    TimePoint filledAt{};
    bool waiting = false; /**< Some holder has an unmet wish. */
};

/** One account of a session as the owner knows it. */
struct HolderAccount
{
    LeaseWish wish;
    Tokens granted = 0;
    TimePoint recalledAt{};
    bool changed = false; /**< Must be told to the holder. */
};

struct Holder
{
    LeaseSession session;
    TimePoint expiresAt{};
    bool open = false;
    std::unordered_map<AccountId, HolderAccount> accounts;
};

/** All buckets of one failure domain. Exists on each instance of the domain; only the owner's is active. */
struct BucketOwner
{
    DomainId domain{};
    FencingNumber epoch = 0; /**< 0: this instance is not the owner. */
    TimePoint startsAt{}; /**< Before this time the old owner's leases may be valid, and nothing is handed out. */
    double share = 0; /**< In force. */
    double raisedShare = 0; /**< Takes force at raiseAt when it is above `share`. */
    TimePoint raiseAt{};
    bool configured = false;
    std::unordered_map<AccountId, Bucket> buckets;
    std::unordered_map<std::uint64_t, Holder> holders; /**< By process number. */
};

/** Balance that a graceful handover moves to the next owner. */
struct BucketHandover
{
    struct Item
    {
        AccountId account{};
        Tokens level = 0;
        Tokens outstanding = 0;
    };
    DomainId domain{};
    std::vector<Item> items;
};

/** A share is raised only after every instance has provably lowered the others: freshness lease, quota lease and margin. */
inline constexpr Duration shareRaiseDelay = milliseconds(12'500);

/** Applies rates, bursts and the share. Lower values hold at once; nothing creates tokens. */
void applyConfiguration(BucketOwner &owner, const control::Configuration &configuration, TimePoint now);

/**
 * Starts ownership with empty buckets. @p oldLeaseEnd is when the old owner's lease has ended at the latest; handing out
 * starts one quota lease (with margin) later.
 */
void startOwnership(BucketOwner &owner, FencingNumber epoch, TimePoint oldLeaseEnd, TimePoint now);

/** Starts ownership with the balance of the old owner, which has stopped. */
void startOwnership(BucketOwner &owner, FencingNumber epoch, const BucketHandover &handover, TimePoint now);

/** Ends ownership and returns the balance; a lost balance loses tokens only. */
[[nodiscard]] BucketHandover stopOwnership(BucketOwner &owner, TimePoint now);

/** Adds the grants to send to @p out. Messages of another epoch or an earlier session are ignored. */
void handle(BucketOwner &owner, const TokenRequest &request, TimePoint now, std::vector<TokenGrant> &out);
void handle(BucketOwner &owner, const TokenReport &report, TimePoint now, std::vector<TokenGrant> &out);

/** Ends expired leases and serves unmet wishes from the refill. Call about every 20 ms. */
void tick(BucketOwner &owner, TimePoint now, std::vector<TokenGrant> &out);

} // namespace mimosahollow::admission
