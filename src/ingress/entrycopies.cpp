#include "ingress/entryinternal.h"

#include <algorithm>

namespace mimosahollow::ingress {

namespace {

using Clock = std::chrono::steady_clock;

} // namespace

hedging::HedgingState &Entry::hedgingState() noexcept
{
    return m_hedging;
}

hedging::CopyDecision Entry::maySendCopy(hedging::CopyQuestion question) const
{
    question.isLeaderless = m_dispatch.isLeaderless;
    question.hasWaitingCalls = std::any_of(m_waitingCalls.begin(), m_waitingCalls.end(), [&question](const WaitingCall *waiter) {
        return !waiter->choice && waiter->call->service == question.service;
    });
    const auto budget = m_dispatch.retryBudgets.find(std::string(question.service));
    question.hasRetry = budget != m_dispatch.retryBudgets.end() && admission::hasRetry(budget->second);
    return hedging::maySendCopy(m_hedging, question, Clock::now());
}

std::optional<dispatch::Send> Entry::chooseSecondServer(const dispatch::Call &call, const std::string &firstServer)
{
    const TimePoint now = Clock::now();
    dispatch::Call copy = call;
    copy.triedServers.insert(firstServer);
    for (const auto &[id, server] : m_dispatch.servers) {
        // Permits and silence protect the server, and a cold one is slower than the call that a copy is to overtake.
        if (server.callsPerSecond > 0 || now < server.silentUntil || now < server.coldUntil) {
            copy.triedServers.insert(id);
        }
    }
    const dispatch::Decision decision = dispatch::decide(m_dispatch, copy, now);
    const auto *send = std::get_if<dispatch::Send>(&decision);
    if (send == nullptr) {
        return std::nullopt;
    }
    dispatch::callStarted(m_dispatch, send->server, now);
    countStart(call);
    return *send;
}

} // namespace mimosahollow::ingress
