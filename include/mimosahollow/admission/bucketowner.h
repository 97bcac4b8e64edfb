#pragma once

#include "mimosahollow/admission/tokenmessages.h"
#include "mimosahollow/admission/transfermessages.h"
#include "mimosahollow/control/configuration.h"

#include <cstdint>
#include <unordered_map>
#include <variant>
#include <vector>

namespace mimosahollow::admission {

/** Token bucket of one account in one failure domain. Invariant: level + outstanding + reservedForTransfers <= burst x share. */
struct Bucket
{
    Tokens rate = 0; /**< Fleet-wide, tokens per second. */
    Tokens burst = 0; /**< Fleet-wide. */
    Tokens level = 0;
    Tokens outstanding = 0; /**< Granted and not yet reported as spent or returned. */
    Tokens reservedForTransfers = 0; /**< Capacity reserved for requested transfers; tokens in transit never exceed it. */
    Tokens refundsCredited = 0; /**< Total since creation; refunds beyond the capacity are dropped. */
    TimePoint refilledAt{};
    bool hasUnmetNeeds = false; /**< Some holder needs more than it was granted. */
};

/** Bucket owner's view of one account of a holder's session. */
struct HolderAccount
{
    LeaseWish wish;
    Tokens granted = 0;
    std::uint64_t recall = 0; /**< Recall priority to send with the next grant; 0: none. */
    TimePoint recalledAt{};
    TimePoint pushedAt{}; /**< Last grant that served an unmet need. */
    bool changed = false; /**< The next grant must contain the account. */
};

/** Lease session of one process that holds tokens. */
struct Holder
{
    LeaseSession session;
    TimePoint expiresAt{};
    bool open = false;
    std::unordered_map<AccountId, HolderAccount> accounts;
};

/** Account whose state must be sent to its holder. */
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
    std::uint64_t requestSequence = 0; /**< Sequence number of the last request sent. */
    std::uint64_t answeredSequence = 0; /**< Sequence number of the peer's last request that was answered. */
    TimePoint requestedAt{};
    TimePoint backoffUntil{}; /**< No request before this time; set when a request times out. */
    std::vector<TransferWish> pending; /**< Content of the unanswered request. */
};

/** All token buckets of one failure domain. Every instance of the domain has one; only that of the owner is active. */
struct BucketOwner
{
    DomainId domain{};
    FencingNumber epoch = 0; /**< 0: this instance is not the owner. */
    TimePoint grantsStartAt{}; /**< No grants before this time, because leases of the previous owner may still be valid. */
    double share = 0; /**< Share of rate and burst in effect. */
    double raisedShare = 0; /**< Takes effect at raiseAt when it is above `share`. */
    TimePoint raiseAt{};
    Version configuration = 0; /**< Version in effect. */
    std::unordered_map<AccountId, Bucket> buckets;
    std::unordered_map<std::uint64_t, Holder> holders; /**< By process number; 0 stands for the leases of the previous owner. */
    std::vector<BucketPeer> peers;
    std::size_t nextPeer = 0;
    TimePoint transferAt{}; /**< Time of the next transfer request. */
    InstanceId self{};
    std::vector<LeaseChange> changes; /**< Emptied before each function returns. */
};

/** Bucket levels and outstanding tokens that a graceful handover passes to the next owner. */
struct BucketHandover
{
    struct Item
    {
        AccountId account{};
        Tokens level = 0;
        Tokens outstanding = 0;
    };
    DomainId domain{};
    Duration untilGrantsStart{}; /**< Time that the previous owner itself still had to wait for leases of its predecessor. */
    std::vector<Item> items;
};

struct OutgoingTransfer
{
    InstanceId to{};
    std::variant<TransferRequest, TransferReply> message;
};

/** Messages to send. Functions append to it and never clear it. */
struct BucketActions
{
    std::vector<TokenGrant> grants; /**< To session.holder. */
    std::vector<OutgoingTransfer> transfers;
};

/** A raised share takes effect after the others were lowered on every instance: freshness lease, quota lease and margin. */
inline constexpr Duration shareRaiseDelay = milliseconds(12'500);

/** Applies rates, bursts and the share. Lower values take effect at once. No change creates tokens. */
void applyConfiguration(BucketOwner &owner, const control::Configuration &configuration, TimePoint now);

/**
 * Starts ownership with empty buckets. @p oldLeaseEnd is the latest time at which the previous owner's lease ends; grants start
 * one quota lease (with margin) later.
 */
void startOwnership(BucketOwner &owner, FencingNumber epoch, TimePoint oldLeaseEnd, TimePoint now);

/** Starts ownership with the balance of the previous owner, which has stopped. */
void startOwnership(BucketOwner &owner, FencingNumber epoch, const BucketHandover &handover, TimePoint now);

/** Ends ownership and returns the balance. A lost balance loses tokens but never creates any. */
[[nodiscard]] BucketHandover stopOwnership(BucketOwner &owner, TimePoint now);

/** Sets the bucket owner of another failure domain. */
void setPeer(BucketOwner &owner, DomainId domain, InstanceId instance, FencingNumber epoch, TimePoint now);

/** Handles a message. Messages of another epoch, of an earlier session or with an old sequence number are ignored. */
void handle(BucketOwner &owner, const TokenRequest &request, TimePoint now, BucketActions &out);
void handle(BucketOwner &owner, const TokenReport &report, TimePoint now, BucketActions &out);
void handle(BucketOwner &owner, const TransferRequest &request, TimePoint now, BucketActions &out);
void handle(BucketOwner &owner, const TransferReply &reply, TimePoint now, BucketActions &out);

/** Ends expired sessions, serves unmet needs from the refill and requests transfers from peers. Call about every 20 ms. */
void tick(BucketOwner &owner, TimePoint now, BucketActions &out);

} // namespace mimosahollow::admission
