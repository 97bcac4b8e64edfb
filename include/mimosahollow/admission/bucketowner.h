#pragma once

#include "mimosahollow/admission/tokenmessages.h"
#include "mimosahollow/admission/transfermessages.h"
#include "mimosahollow/control/configuration.h"

#include <cstdint>
#include <unordered_map>
#include <variant>
#include <vector>

namespace mimosahollow::admission {

/** Bucket of one account in one failure domain. Invariant: level + outstanding + expected <= burst x share. */
struct Bucket
{
    Tokens rate = 0; /**< Fleet-wide, tokens per second. */
    Tokens burst = 0; /**< Fleet-wide. */
    Tokens level = 0;
    Tokens outstanding = 0; /**< Handed out and not yet reported as spent or returned. */
    Tokens reservedForTransfers = 0; /**< Room kept for transfers that were asked for; what is under way is never more. */
    Tokens refundsCredited = 0; /**< Total; a refund beyond the capacity is lost. */
    TimePoint refilledAt{};
    bool hasUnmetNeeds = false; /**< Some holder has an unmet need. */
};

/** One account of a session as the owner knows it. */
struct HolderAccount
{
    LeaseWish wish;
    Tokens granted = 0;
    std::uint64_t recall = 0; /**< Not 0: to be sent with the next grant. */
    TimePoint recalledAt{};
    TimePoint pushedAt{}; /**< Last grant for a need. */
    bool changed = false; /**< Must be told to the holder. */
};

struct Holder
{
    LeaseSession session;
    TimePoint expiresAt{};
    bool open = false;
    std::unordered_map<AccountId, HolderAccount> accounts;
};

/** An account of a holder that must be told something. */
struct LeaseChange
{
    std::uint64_t process = 0;
    AccountId account{};
};

/** The bucket owner of another failure domain. */
struct BucketPeer
{
    DomainId domain{};
    InstanceId owner{};
    FencingNumber epoch = 0;
    std::uint64_t requestSequence = 0; /**< Of the last request sent. */
    std::uint64_t answeredSequence = 0; /**< Of the last request of the peer that was answered. */
    TimePoint requestedAt{};
    TimePoint backoffUntil{}; /**< Not asked before; set when a request stays without an answer. */
    std::vector<TransferWish> pending; /**< Of the request without an answer. */
};

/** All buckets of one failure domain. Exists on each instance of the domain; only the owner's is active. */
struct BucketOwner
{
    DomainId domain{};
    FencingNumber epoch = 0; /**< 0: this instance is not the owner. */
    TimePoint grantsStartAt{}; /**< Before this time the old owner's leases may be valid, and nothing is handed out. */
    double share = 0; /**< In force. */
    double raisedShare = 0; /**< Takes force at raiseAt when it is above `share`. */
    TimePoint raiseAt{};
    Version configuration = 0; /**< Version in force. */
    std::unordered_map<AccountId, Bucket> buckets;
    std::unordered_map<std::uint64_t, Holder> holders; /**< By process number. */
    std::vector<BucketPeer> peers;
    std::size_t nextPeer = 0;
    TimePoint transferAt{}; /**< Next request for transfers. */
    InstanceId self{};
    std::vector<LeaseChange> changes; /**< Emptied before each function returns. */
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
    Duration untilGrantsStart{}; /**< Rest of the old owner's own wait for leases of its predecessor. */
    std::vector<Item> items;
};

struct OutgoingTransfer
{
    InstanceId to{};
    std::variant<TransferRequest, TransferReply> message;
};

/** Messages to send. The functions below only append. */
struct BucketActions
{
    std::vector<TokenGrant> grants; /**< To session.holder. */
    std::vector<OutgoingTransfer> transfers;
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

/** Tells who owns the buckets of another failure domain. */
void setPeer(BucketOwner &owner, DomainId domain, InstanceId instance, FencingNumber epoch, TimePoint now);

/** Messages of another epoch, of an earlier session or with an old sequence number are ignored. */
void handle(BucketOwner &owner, const TokenRequest &request, TimePoint now, BucketActions &out);
void handle(BucketOwner &owner, const TokenReport &report, TimePoint now, BucketActions &out);
void handle(BucketOwner &owner, const TransferRequest &request, TimePoint now, BucketActions &out);
void handle(BucketOwner &owner, const TransferReply &reply, TimePoint now, BucketActions &out);

/** Ends expired leases, serves unmet needs from the refill and balances with the peers. Call about every 20 ms. */
void tick(BucketOwner &owner, TimePoint now, BucketActions &out);

} // namespace mimosahollow::admission
