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

/** Holder's view of one account of a lease session. */
struct Lease
{
    LeaseUse use;
    LeaseUse sent; /**< As last sent to the owner. */
    Tokens granted = 0;
    Tokens requestedNeed = 0; /**< Total grant that satisfies the need sent last. */
    Tokens requestedTarget = 0; /**< Total grant that satisfies the target sent last. */
    TimePoint requestedAt{}; /**< Last message that contained the account. */
    Tokens extraNeed = 0; /**< Tokens that waiting calls need beyond those held. */
    Tokens reachable = 0; /**< From the last answer; excludes the tokens of this holder. */
    Tokens givenBackAtAnswer = 0; /**< Returned and refunded as of the last answer; tokens given back since then are reachable again. */
    Tokens unmet = 0; /**< From the last answer. */
    TimePoint answeredAt{};
    bool answered = false;
    bool queued = false; /**< The account is in LeaseSource::changed. */
};

/** Quota leases that this instance holds from one bucket owner. */
struct LeaseSource
{
    DomainId domain{};
    InstanceId owner{};
    FencingNumber epoch = 0;
    double share = 0;
    bool retired = false; /**< The owner was replaced; its tokens may be spent until they expire. */
    std::uint64_t session = 0; /**< 0: no open session. */
    std::uint64_t sequence = 0;
    TimePoint expiresAt{};
    TimePoint sentAt{}; /**< Last message. */
    TimePoint requestedAt{}; /**< Last request. */
    TimePoint unansweredSince{}; /**< Time of the first request after the last answer. */
    bool awaitingAnswer = false; /**< A request has not been answered. */
    std::deque<std::pair<std::uint64_t, TimePoint>> sendTimes; /**< Sequence and time of recent requests. */
    std::unordered_map<AccountId, Lease> leases;
    std::vector<AccountId> changed; /**< Accounts to include in the next message. */
    bool urgent = false; /**< Some change must be sent before the next tick. */
};

/** Call that asks for tokens. */
struct WaitingCall
{
    RequestId id;
    Tokens cost = 0;
    TimePoint since{};
    TimePoint deadline{};
};

/** Limits, demand and waiting calls of one account at this instance. */
struct LeaseAccount
{
    Tokens rate = 0;
    Tokens burst = 0;
    double demand = 0; /**< Tokens per second, exponentially decayed. */
    TimePoint demandUpdatedAt{};
    Tokens lastCost = 0; /**< Cost of the last call; the minimum to prefetch. */
    Tokens pendingRefund = 0; /**< Refunds that were not sent in any session yet. */
    std::uint64_t priority = 0; /**< Priority of the first waiting call; 0: no call waits. */
    TimePoint shortageUntil{}; /**< Set when the home bucket is short; until then tokens are also prefetched from other failure domains. */
    Version loweredInVersion = 0; /**< Last configuration version that lowered a capacity of the account. */
    std::deque<WaitingCall> waiting; /**< In order of arrival; served first in, first out. */
};

/** Quota leases of one holder: an entry instance, or a pool owner for the load account. */
struct QuotaLeases
{
    InstanceId self{};
    DomainId home{};
    std::uint64_t process = 0; /**< Random number that identifies this process; chosen at its start. */
    std::uint64_t lastSession = 0;
    Version configuration = 0;
    std::vector<LeaseSource> sources; /**< The current owner of the home domain comes first. */
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

/** Messages to send and decisions on calls. Functions append to it and never clear it. */
struct LeaseActions
{
    std::vector<OutgoingTokenMessage> messages;
    std::vector<RequestId> run; /**< Waiting calls that were admitted; their cost has been spent. */
    std::vector<RefusedCall> refused;
};

enum class Admission : std::uint8_t {
    Run, /**< Admitted; the cost has been spent. */
    Wait, /**< The call waits for tokens and appears in a later LeaseActions::run or LeaseActions::refused. */
    Refused, /**< The call was added to LeaseActions::refused. */
};

/** Applies rates, bursts and shares. Held tokens are reduced in proportion when a capacity is lowered. */
void applyConfiguration(QuotaLeases &leases, const control::Configuration &configuration, TimePoint now);

/** Sets the bucket owner of @p domain. Tokens of the previous owner remain valid until they expire. */
void setOwner(QuotaLeases &leases, DomainId domain, InstanceId owner, FencingNumber epoch, double share);

/** Spends the cost of @p call from @p account, or queues the call if the refill can reach the cost before the deadline. */
[[nodiscard]] Admission admit(QuotaLeases &leases, AccountId account, const WaitingCall &call, TimePoint now, LeaseActions &out);

/** Removes a waiting call whose caller has disconnected. Returns false when the call was not waiting. */
bool cancel(QuotaLeases &leases, AccountId account, RequestId id, TimePoint now);

/** Refunds the unused part of a call that had reserved @p reserved tokens. Returns the part that can be spent again at once. */
Tokens refund(QuotaLeases &leases, AccountId account, Tokens reserved, Tokens used);

/** Applies a grant and runs the waiting calls that it covers. Grants of another owner, process or session are ignored. */
void handle(QuotaLeases &leases, const TokenGrant &grant, TimePoint now, LeaseActions &out);

/** Expires leases, refuses late calls, and sends renewals, reports and returns. Call about every 20 ms. */
void tick(QuotaLeases &leases, TimePoint now, LeaseActions &out);

/** Returns all tokens and closes all sessions, for a graceful stop. */
void close(QuotaLeases &leases, TimePoint now, LeaseActions &out);

/** Tokens of @p account that can be spent at @p now. */
[[nodiscard]] Tokens available(const QuotaLeases &leases, AccountId account, TimePoint now);

} // namespace mimosahollow::admission
