#include "ingress/callrelayinternal.h"

#include "mimosahollow/observability/decisionline.h"
#include "mimosahollow/observability/log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <exception>

namespace mimosahollow::ingress {

namespace asio = boost::asio;

namespace {

using Clock = std::chrono::steady_clock;

/** How much the end of an attempt that brought no answer says about the call; the higher one of two decides. */
int weightOf(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::Superseded:
        return 0;
    case AttemptEnd::Unreachable:
        return 1;
    case AttemptEnd::NotRun:
        return 2;
    case AttemptEnd::Missing:
        return 3;
    case AttemptEnd::Failed: // the call may have run
        return 4;
    case AttemptEnd::TimedOut:
        return 5;
    case AttemptEnd::Answered:
    case AttemptEnd::Cut:
    case AttemptEnd::CallerLeft:
        break;
    }
    return 6;
}

} // namespace

hedging::CopyDecision CallRelay::maySendCopy(const Attempt &first) const
{
    hedging::CopyQuestion question;
    question.route = m_route->name;
    question.service = m_call.service;
    question.isRepeatable = isRepeatable();
    question.hasAnswerBegun = m_headSent || m_answering != nullptr;
    question.isSuspected = m_entry.isSuspected(m_call) || dispatch::isQuarantined(m_entry.dispatchState(), m_call);
    // The first attempt counts from the beginning, although it has not reached its backend server while its connection is being opened.
    question.attempts = static_cast<unsigned>(m_attemptedServers.size()) + (m_attemptedServers.contains(first.target.server) ? 0 : 1);
    question.maximumAttempts = m_route->maximumAttempts;
    question.startedAt = first.startedAt;
    question.deadline = m_call.deadline;
    return m_entry.maySendCopy(question);
}

bool CallRelay::mayGetCopy(const Attempt &first) const
{
    const hedging::CopyDecision decision = maySendCopy(first);
    return decision.excluded == hedging::Exclusion::None || decision.askAgain.has_value();
}

AttemptPointer CallRelay::makeCopy(const Attempt &first, hedging::CopyDecision &decision)
{
    decision = maySendCopy(first);
    if (decision.excluded != hedging::Exclusion::None) {
        return nullptr;
    }
    const auto target = m_entry.chooseSecondServer(m_call, first.target.server);
    if (!target) {
        decision = hedging::withoutServer(Clock::now());
        return nullptr;
    }
    // maySendCopy() has found a retry in the budget, and nothing else has run since.
    static_cast<void>(m_entry.takeRetry(m_call.service));
    hedging::copySent(m_entry.hedgingState(), m_call.service);
    m_entry.metrics().secondCopySent();
    return std::make_shared<Attempt>(m_entry, *target);
}

asio::awaitable<AttemptPointer> CallRelay::runWithCopy(AttemptPointer first)
{
    asio::steady_timer wake(m_entry.context());
    unsigned running = 0;
    std::exception_ptr problem;
    const auto start = [&](const AttemptPointer &attempt) {
        ++running;
        m_running.push_back(attempt.get());
        const auto run = [this, attempt]() -> asio::awaitable<void> {
            co_await runAttempt(*attempt);
        };
        asio::co_spawn(m_entry.context(), run, [&](const std::exception_ptr &exception) {
            problem = exception ? exception : problem;
            --running;
            wake.cancel();
        });
    };
    start(first);
    hedging::CopyDecision decision = maySendCopy(*first);
    if (decision.excluded == hedging::Exclusion::None) {
        decision.askAgain = Clock::now(); // the event loop has been busy for longer than the delay
    }
    AttemptPointer copy;
    bool isExclusionCounted = false;
    while (running > 0) {
        const bool mayFollow = !copy && m_answering == nullptr && !m_caller.watch->callerLeft();
        wake.expires_at(mayFollow ? decision.askAgain.value_or(TimePoint::max()) : TimePoint::max());
        const auto [interrupted] = co_await wake.async_wait(asio::as_tuple(asio::use_awaitable));
        if (interrupted || running == 0 || copy || m_answering != nullptr || m_caller.watch->callerLeft()) {
            continue;
        }
        copy = makeCopy(*first, decision);
        if (copy) {
            start(copy);
        } else if (!isExclusionCounted && decision.excluded != hedging::Exclusion::TooEarly) {
            isExclusionCounted = true;
            m_entry.metrics().secondCopyExcluded(decision.excluded);
        }
    }
    if (problem) {
        std::rethrow_exception(problem);
    }
    if (!copy) {
        co_return first;
    }
    logCopy(*first, *copy);
    const bool copyDecides = m_answering == nullptr ? weightOf(copy->end) > weightOf(first->end) : m_answering == copy.get();
    const AttemptPointer &other = copyDecides ? first : copy;
    logAttempt(*other);
    if (other->end != AttemptEnd::Superseded) {
        excludeServer(*other);
    }
    co_return copyDecides ? copy : first;
}

bool CallRelay::claimAnswer(const Attempt &attempt)
{
    if (m_answering == nullptr && !attempt.isSuperseded) {
        m_answering = &attempt;
        recordAnswer(attempt);
        for (Attempt *other : m_running) {
            if (other != &attempt) {
                other->isSuperseded = true;
                other->exchange.abort();
            }
        }
    }
    return m_answering == &attempt;
}

/** Records the time of an answer that is about to go to the caller, and how long the attempt that it overtakes had none. */
void CallRelay::recordAnswer(const Attempt &attempt)
{
    hedging::HedgingState &state = m_entry.hedgingState();
    if (state.options.share <= 0 || !isRepeatable() || m_headSent || attempt.status >= 300) {
        return;
    }
    const TimePoint now = Clock::now();
    TimePoint begin = attempt.startedAt;
    for (const Attempt *other : m_running) {
        // Without the times of overtaken attempts the usual time would shrink, and with it the delay before the next copies.
        begin = std::min(begin, other->startedAt);
    }
    hedging::recordAnswer(state, m_route->name, m_call.service, now - begin, now);
}

void CallRelay::logCopy(const Attempt &first, const Attempt &copy)
{
    const bool hasWon = m_answering == &copy;
    if (hasWon) {
        m_entry.metrics().secondCopyWon();
    }
    observability::DecisionLine line("second-copy");
    line.add("id", m_head.id).add("route", m_route->name).add("service", m_call.service);
    line.add("first", first.target.server).add("server", copy.target.server).add("after-ms", copy.startedAt - first.startedAt);
    line.add("outcome", hasWon ? "won" : m_answering == &first ? "lost" : "no-answer");
    observability::logDecision(line.text());
}

} // namespace mimosahollow::ingress
