#include "internal.h"

#include "mimosahollow/scheduling/pool.h"

#include <deque>

namespace mimosahollow::serving {

namespace {

// If no token is granted within this time, the pool requests one again on its next tick.
constexpr Duration loadTokenTimeout = seconds(10);

/** Resumes the call, or the adapter load of a pool, that waited for tokens under this id. */
void resumeWaiting(ServingState &state, const RequestId &id, TimePoint now, Actions &actions)
{
    const auto found = state.calls.find(id);
    if (found != state.calls.end()) {
        Call &call = found->second;
        call.reservedTokens = static_cast<double>(call.request.promptTokens) + call.request.maximumOutputTokens;
        requestGrant(state, call, now, actions);
        return;
    }
    for (auto &[pool, owned] : state.pools) {
        if (owned.awaitsLoadToken && owned.loadTokenRequestId == id) {
            owned.awaitsLoadToken = false;
            scheduling::Actions decided;
            scheduling::grantLoadTokens(owned.state, admission::loadCost, now, decided);
            carryOut(state, pool, decided, now, actions);
            return;
        }
    }
}

void refuseWaitingForTokens(ServingState &state, const admission::RefusedCall &refused, TimePoint now, Actions &actions)
{
    if (state.calls.contains(refused.id)) {
        refuseCall(state, refused.id, refused.reason, CallOutcome::NotRun, refused.retryAfter, now, actions);
        return;
    }
    for (auto &[pool, owned] : state.pools) {
        if (owned.loadTokenRequestId == refused.id) {
            owned.awaitsLoadToken = false;
        }
    }
}

/** Sends a token message, or handles it directly if it is addressed to this instance. */
void deliver(ServingState &state, InstanceId to, PeerMessage message, TimePoint now, Actions &actions)
{
    if (to == state.self) {
        handleTokenMessage(state, std::move(message), now, actions);
    } else {
        actions.push_back(SendToPeer{to, std::move(message)});
    }
}

void deliver(ServingState &state, admission::BucketActions &decided, TimePoint now, Actions &actions)
{
    for (admission::TokenGrant &grant : decided.grants) {
        const InstanceId holder = grant.session.holder;
        deliver(state, holder, std::move(grant), now, actions);
    }
    for (admission::OutgoingTransfer &transfer : decided.transfers) {
        std::visit(
            [&](auto &message) {
                deliver(state, transfer.to, std::move(message), now, actions);
            },
            transfer.message);
    }
}

} // namespace

bool ownsBuckets(const ServingState &state, TimePoint now) noexcept
{
    return state.buckets.epoch != 0 && now < state.bucketsOwnedUntil;
}

void carryOut(ServingState &state, admission::LeaseActions &decided, TimePoint now, Actions &actions)
{
    for (const RequestId &id : decided.run) {
        resumeWaiting(state, id, now, actions);
    }
    for (const admission::RefusedCall &refused : decided.refused) {
        refuseWaitingForTokens(state, refused, now, actions);
    }
    for (admission::OutgoingTokenMessage &outgoing : decided.messages) {
        std::visit(
            [&](auto &message) {
                deliver(state, outgoing.to, std::move(message), now, actions);
            },
            outgoing.message);
    }
}

void handleTokenMessage(ServingState &state, PeerMessage message, TimePoint now, Actions &actions)
{
    if (const auto *grant = std::get_if<admission::TokenGrant>(&message)) {
        admission::LeaseActions decided;
        admission::handle(state.quotas, *grant, now, decided);
        carryOut(state, decided, now, actions);
        return;
    }
    if (!ownsBuckets(state, now)) {
        return;
    }
    admission::BucketActions decided;
    if (const auto *request = std::get_if<admission::TokenRequest>(&message)) {
        admission::handle(state.buckets, *request, now, decided);
    } else if (const auto *report = std::get_if<admission::TokenReport>(&message)) {
        admission::handle(state.buckets, *report, now, decided);
    } else if (const auto *transfer = std::get_if<admission::TransferRequest>(&message)) {
        admission::handle(state.buckets, *transfer, now, decided);
    } else if (const auto *reply = std::get_if<admission::TransferReply>(&message)) {
        admission::handle(state.buckets, *reply, now, decided);
    }
    deliver(state, decided, now, actions);
}

void tickTokens(ServingState &state, TimePoint now, Actions &actions)
{
    admission::LeaseActions decided;
    admission::tick(state.quotas, now, decided);
    carryOut(state, decided, now, actions);
    if (ownsBuckets(state, now)) {
        admission::BucketActions tokens;
        admission::tick(state.buckets, now, tokens);
        deliver(state, tokens, now, actions);
    }
}

void requestLoadTokens(ServingState &state, TimePoint now, Actions &actions)
{
    for (auto &[pool, owned] : state.pools) {
        while (owned.state.loadTokenDemand > 0 && !owned.awaitsLoadToken && ownsPool(state, pool, now)) {
            owned.awaitsLoadToken = true;
            owned.loadTokenRequestId = {0, state.nextLoadTokenSequence++};
            admission::LeaseActions decided;
            const admission::WaitingCall waiting{owned.loadTokenRequestId, admission::loadCost, now, now + loadTokenTimeout};
            const auto admission = admission::admit(state.quotas, admission::loadAccount, waiting, now, decided);
            const std::uint32_t wanted = owned.state.loadTokenDemand;
            if (admission == admission::Admission::Run) {
                resumeWaiting(state, owned.loadTokenRequestId, now, actions);
            }
            carryOut(state, decided, now, actions);
            if (admission == admission::Admission::Refused || owned.state.loadTokenDemand >= wanted) {
                break;
            }
        }
    }
}

void setBucketLease(ServingState &state, FencingNumber fencing, TimePoint ownedUntil, TimePoint now)
{
    state.bucketsOwnedUntil = ownedUntil;
    if (fencing != 0 && state.buckets.epoch != fencing) {
        // A lease is granted only after that of the previous owner has ended, so now is passed as its end.
        admission::startOwnership(state.buckets, fencing, now, now);
    }
}

} // namespace mimosahollow::serving
