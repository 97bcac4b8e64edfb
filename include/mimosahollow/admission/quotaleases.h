#pragma once

#include "mimosahollow/admission/tokenmessages.h"
#include "mimosahollow/control/configuration.h"
#include "mimosahollow/core/refusal.h"

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <variant>
#include <vector>

namespace mimosahollow::admission {

/** One account of a session as the holder knows it. */
struct Lease
{
    LeaseUse use;
    LeaseUse sent; /**< As last sent. */
    Tokens granted = 0;
    Tokens requestedNeed = 0; /**< Total grant that the last sent need asks for. */
    Tokens requestedTarget = 0; /**< Total grant that the last sent target asks for. */
    TimePoint requestedAt{}; /**< Last request that contained the account. */
    Tokens extraNeed = 0; /**< Wanted for waiting calls on top of what is held. */
    Tokens reachable = 0; /**< As last answered; without what this holder has. */
    Tokens givenBackAtAnswer = 0; /**< Returned and refunded at that time; what was given back since can be reached again. */
    Tokens unmet = 0; /**< As last answered. */
    TimePoint answeredAt{};
    bool answered = false;
    bool queued = false; /**< In LeaseSource::changed. */
};

/** The quota leases of this instance from one bucket owner. */
struct LeaseSource
{
    DomainId domain{};
    InstanceId owner{};
    FencingNumber epoch = 0;
    double share = 0;
    bool retired = false; /**< The owner has been replaced; tokens may be spent until they expire. */
    std::uint64_t session = 0; /**< 0: none open. */
    std::uint64_t sequence = 0;
    TimePoint expiresAt{};
    TimePoint sentAt{}; /**< Last message. */
    TimePoint requestedAt{}; /**< Last request. */
    TimePoint unansweredSince{}; /**< First request after the last answer. */
    bool awaitingAnswer = false; /**< A request is without an answer. */
    std::deque<std::pair<std::uint64_t, TimePoint>> sendTimes; /**< Sequence and time of recent requests. */
    std::unordered_map<AccountId, Lease> leases;
    std::vector<AccountId> changed; /**< Accounts with something to tell. */
    bool urgent = false; /**< Some of it does not wait for the next tick. */
};

struct WaitingCall
{
    RequestId id;
    Tokens cost = 0;
    TimePoint since{};
    TimePoint deadline{};
};

struct LeaseAccount
{
    Tokens rate = 0;
    Tokens burst = 0;
    double demand = 0; /**< Tokens per second, exponentially decayed. */
    TimePoint demandUpdatedAt{};
    Tokens lastCost = 0; /**< Of the last call; asked ahead at least. */
    Tokens pendingRefund = 0; /**< Not yet sent in any session. */
    std::uint64_t priority = 0; /**< Of the first waiting call; 0: none waits. */
    TimePoint shortageUntil{}; /**< The home bucket was short; until then tokens are asked ahead in other failure domains too. */
    Version loweredInVersion = 0; /**< Last configuration that lowered the capacity. */
    std::deque<WaitingCall> waiting; /**< First come, first served. */
};

/** State of a holder of quota leases: an entry instance, or a pool owner for the load account. */
struct QuotaLeases
{
    InstanceId self{};
    DomainId home{};
    std::uint64_t process = 0; /**< Random start number of this process. */
    std::uint64_t lastSession = 0;
    Version configuration = 0;
    std::vector<LeaseSource> sources; /**< The home domain's current owner first. */
    std::unordered_map<AccountId, LeaseAccount> accounts;
    std::vector<AccountId> waitingAccounts; /**< Accounts with waiting calls. */
};

struct OutgoingTokenMessage
{
    InstanceId to{};
    std::variant<TokenRequest, TokenReport> message;
};

struct RefusedCall
{
    RequestId id;
    RefusalReason reason{};
    Duration retryAfter{};
};

/** What the caller has to do. Reused between calls; the functions below only append. */
struct LeaseActions
{
    std::vector<OutgoingTokenMessage> messages;
    std::vector<RequestId> run; /**< Waiting calls whose cost has been taken. */
    std::vector<RefusedCall> refused;
};

enum class Admission : std::uint8_t {
    Run, /**< The cost has been taken. */
    Wait, /**< The call appears in a later LeaseActions::run or LeaseActions::refused. */
    Refused, /**< The call is in LeaseActions::refused. */
};

/** Applies rates, bursts and shares. Leases shrink in proportion when a capacity is lowered. */
void applyConfiguration(QuotaLeases &leases, const control::Configuration &configuration, TimePoint now);

/** Tells who owns the buckets of @p domain. Tokens of the earlier owner remain valid until they expire. */
void setOwner(QuotaLeases &leases, DomainId domain, InstanceId owner, FencingNumber epoch, double share);

/** Takes @p cost tokens of @p account, or lets the call wait while the refill can reach the cost before the deadline. */
[[nodiscard]] Admission admit(QuotaLeases &leases, AccountId account, const WaitingCall &call, TimePoint now, LeaseActions &out);

/** Ends the waiting of a call whose caller has gone. False when it does not wait. */
bool cancel(QuotaLeases &leases, AccountId account, RequestId id, TimePoint now);

/** Refunds the unused part of a call that had reserved @p reserved tokens. Returns what became spendable at once. */
Tokens refund(QuotaLeases &leases, AccountId account, Tokens reserved, Tokens used);

void handle(QuotaLeases &leases, const TokenGrant &grant, TimePoint now, LeaseActions &out);

/** Expiry, deadlines, renewals, reports and returns. Call about every 20 ms. */
void tick(QuotaLeases &leases, TimePoint now, LeaseActions &out);

/** Returns all tokens before a graceful stop. */
void close(QuotaLeases &leases, TimePoint now, LeaseActions &out);

/** Tokens of @p account that may be spent at @p now. */
[[nodiscard]] Tokens available(const QuotaLeases &leases, AccountId account, TimePoint now);

} // namespace mimosahollow::admission
