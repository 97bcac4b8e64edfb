#include "ingress/entryinternal.h"

#include "gateway/callerwatch.h"
#include "mimosahollow/dispatch/loadresults.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace mimosahollow::ingress {

namespace asio = boost::asio;

namespace {

using Clock = std::chrono::steady_clock;

/** Whether a server that can take one of the calls can take the other too. */
bool needSamePlace(const dispatch::Call &left, const dispatch::Call &right)
{
    return left.service == right.service && left.model == right.model && left.adapter == right.adapter;
}

constexpr std::int64_t longestClockStep = 100; // ms; between the readings of two clocks a thread may wait for the processor

} // namespace

asio::awaitable<bool> Entry::waitForState(gateway::CallerWatch &watch)
{
    if (m_dispatch.catalog && isStateCurrent()) {
        co_return true;
    }
    asio::steady_timer timer(m_context, m_settings.stateTimeout);
    m_stateWaiters.push_back(&timer);
    watch.setInterrupt([&timer] {
        timer.cancel();
    });
    if (!watch.callerLeft()) {
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    watch.clearInterrupt();
    std::erase(m_stateWaiters, &timer);
    co_return m_dispatch.catalog &&isStateCurrent();
}

asio::awaitable<TokenOutcome> Entry::acquireTokens(const catalog::OrganisationSpec &organisation, double tokens, gateway::CallerWatch &watch)
{
    if (organisation.ratePerSecond <= 0) {
        co_return TokenOutcome::Acquired;
    }
    const TimePoint now = Clock::now();
    allowance::recordDemand(m_quotaCache, organisation.name, tokens, now);
    const bool othersWait = std::any_of(m_tokenWaiters.begin(), m_tokenWaiters.end(), [&organisation](const TokenWaiter *other) {
        return other->organisation == organisation.name && !other->granted;
    });
    if (!othersWait && allowance::spend(m_quotaCache, organisation.name, tokens, now)) {
        co_return TokenOutcome::Acquired;
    }
    TokenWaiter waiter(m_context);
    waiter.organisation = organisation.name;
    waiter.tokens = tokens;
    waiter.timer.expires_after(m_settings.tokenTimeout);
    const auto position = m_tokenWaiters.insert(m_tokenWaiters.end(), &waiter);
    watch.setInterrupt([&waiter] {
        waiter.isAbandoned = true;
        waiter.timer.cancel();
    });
    scheduleReport(now + m_settings.urgentReportDelay);
    if (!waiter.isAbandoned) {
        co_await waiter.timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    watch.clearInterrupt();
    m_tokenWaiters.erase(position);
    if (!waiter.granted) {
        co_return TokenOutcome::NoLeader;
    }
    co_return *waiter.granted ? TokenOutcome::Acquired : TokenOutcome::OverRate;
}

void Entry::refundTokens(const std::string &organisation, double tokens)
{
    allowance::refund(m_quotaCache, organisation, tokens);
}

/** The time for which calls may begin on older versions also passes while the machine is suspended, and the steady clock does not count that. */
void Entry::endOlderVersionsAfterSuspension(TimePoint now)
{
    if (!m_dispatch.olderVersions.empty() && bootLead(now) - m_versionsBootLead > longestClockStep) {
        m_dispatch.olderVersions.clear();
    }
}

asio::awaitable<ServerChoice> Entry::chooseServer(const dispatch::Call &call, gateway::CallerWatch &watch)
{
    const TimePoint now = Clock::now();
    endOlderVersionsAfterSuspension(now);
    const auto isLessUrgent = [&call](const WaitingCall *other) {
        return std::tie(other->call->priority, other->call->arrived) > std::tie(call.priority, call.arrived);
    };
    const auto firstLessUrgent = std::find_if(m_waitingCalls.begin(), m_waitingCalls.end(), isLessUrgent);
    const auto ahead = std::count_if(m_waitingCalls.begin(), firstLessUrgent, [&call](const WaitingCall *other) {
        return !other->choice && other->cause == dispatch::RefusalCause::LimitedServers && other->call->service == call.service;
    });
    // A place that gets free belongs to a call that waits for it. Calls that arrive in the same moment took it, so that one waited until it was refused.
    const bool mustWait = std::any_of(m_waitingCalls.begin(), firstLessUrgent, [&call](const WaitingCall *other) {
        // Those that wait for permits have an order of their own.
        return !other->choice && other->cause != dispatch::RefusalCause::LimitedServers && needSamePlace(*other->call, call);
    });
    dispatch::Decision decision = dispatch::Wait{dispatch::RefusalCause::NoCapacity, now};
    if (!mustWait) {
        decision = dispatch::decide(m_dispatch, call, now, {static_cast<unsigned>(ahead), false});
    }
    WaitingCall waiter(m_context);
    if (const auto *send = std::get_if<dispatch::Send>(&decision)) {
        dispatch::callStarted(m_dispatch, send->server, now);
        waiter.choice = *send;
    } else if (const auto *refuse = std::get_if<dispatch::Refuse>(&decision)) {
        waiter.choice = *refuse;
    } else {
        const auto &wait = std::get<dispatch::Wait>(decision);
        waiter.call = &call;
        waiter.until = wait.until;
        waiter.timer.expires_at(TimePoint::max());
        waiter.cause = wait.cause;
        const auto position = m_waitingCalls.insert(firstLessUrgent, &waiter);
        metrics().setWaitingCalls(m_waitingCalls.size());
        watch.setInterrupt([&waiter] {
            if (!waiter.choice) {
                waiter.choice = CallerDisconnected{};
                waiter.timer.cancel();
            }
        });
        if (wait.cause == dispatch::RefusalCause::AdapterNotLoaded || wait.cause == dispatch::RefusalCause::LimitedServers) {
            scheduleReport(now + m_settings.urgentReportDelay);
        }
        postDispatchWaitingCalls();
        if (!waiter.choice) {
            co_await waiter.timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
        watch.clearInterrupt();
        m_waitingCalls.erase(position);
        metrics().setWaitingCalls(m_waitingCalls.size());
    }
    if (!waiter.choice) {
        waiter.choice = dispatch::Refuse{dispatch::RefusalCause::NoCapacity, seconds(1)};
    }
    if (std::holds_alternative<dispatch::Send>(*waiter.choice)) {
        countStart(call);
    }
    if (const auto *refuse = std::get_if<dispatch::Refuse>(&*waiter.choice); refuse != nullptr && refuse->cause == dispatch::RefusalCause::AdapterNotLoaded) {
        m_expectedRetries[{call.model, call.adapter}] = {call.service, now + refuse->retryAfter + m_settings.retryMargin};
    }
    co_return *waiter.choice;
}

void Entry::countStart(const dispatch::Call &call)
{
    dispatch::recordAdapterSend(m_dispatch, call, Clock::now());
    if (!call.model.empty()) {
        ++demandOf(call.model, call.adapter, call.service).started;
        auto &running = m_running[{call.model, call.adapter}];
        running.service = call.service;
        ++running.calls;
    }
}

void Entry::callEnded(const std::string &server, const dispatch::Call &call, dispatch::CallResult result)
{
    if (const auto running = m_running.find({call.model, call.adapter}); running != m_running.end()) {
        // Creates the entry, so that the next report tells the leader that the call has ended.
        demandOf(call.model, call.adapter, call.service);
        if (--running->second.calls == 0) {
            m_running.erase(running);
        }
    }
    dispatch::callEnded(m_dispatch, server, result, Clock::now());
    if (!m_waitingCalls.empty()) {
        postDispatchWaitingCalls();
    }
}

void Entry::loadTested(const dispatch::Send &target, const dispatch::Call &call, unsigned status, TimePoint sentAt)
{
    const bool isFound = status >= 200 && status < 300;
    if (!call.adapter.empty() && (isFound || status == 421)) {
        dispatch::recordLoadResult(m_dispatch, target.server, call, isFound, sentAt);
    }
}

void Entry::paceMeasured(std::uint32_t serverKey, Duration total, unsigned count)
{
    serverpace::addSample(m_paceSamples, serverKey, total, count);
}

void Entry::handleMissingModel(const std::string &server, const dispatch::Call &call)
{
    dispatch::handleMissingModel(m_dispatch, server, call, Clock::now());
}

void Entry::postDispatchWaitingCalls()
{
    if (m_dispatchPosted) {
        return;
    }
    m_dispatchPosted = true;
    asio::post(m_context, [this] {
        m_dispatchPosted = false;
        dispatchWaitingCalls();
    });
}

/** Repeats the dispatch decision for all waiting calls, most urgent first. */
void Entry::dispatchWaitingCalls()
{
    const TimePoint now = Clock::now();
    endOlderVersionsAfterSuspension(now);
    TimePoint next = TimePoint::max();
    std::map<std::string, unsigned> ahead; // by service: calls that still wait for permits
    for (WaitingCall *waiter : m_waitingCalls) {
        if (waiter->choice) {
            continue;
        }
        unsigned &callsAhead = ahead[waiter->call->service];
        const dispatch::Decision decision = dispatch::decide(m_dispatch, *waiter->call, now, {callsAhead, true});
        if (const auto *send = std::get_if<dispatch::Send>(&decision)) {
            dispatch::callStarted(m_dispatch, send->server, now);
            waiter->choice = *send;
            waiter->timer.cancel();
        } else if (const auto *refuse = std::get_if<dispatch::Refuse>(&decision)) {
            waiter->choice = *refuse;
            waiter->timer.cancel();
        } else {
            const auto &wait = std::get<dispatch::Wait>(decision);
            next = std::min(next, wait.until);
            waiter->cause = wait.cause;
            callsAhead += wait.cause == dispatch::RefusalCause::LimitedServers ? 1 : 0;
        }
    }
    if (next != TimePoint::max()) {
        m_waitingCallsTimer.expires_at(next);
        m_waitingCallsTimer.async_wait([this](boost::system::error_code error) {
            if (!error) {
                dispatchWaitingCalls();
            }
        });
    }
}

void Entry::countRequest(const std::string &service)
{
    admission::RetryBudget &budget = m_dispatch.retryBudgets[service];
    budget.ratio = m_settings.retryRatio;
    const double reserve = std::max(1.0, m_settings.retryReserve / m_dispatch.entryInstances);
    if (budget.reserve != reserve) {
        budget.reserve = reserve;
        budget.balance = std::min(budget.balance, reserve);
    }
    admission::countRequest(budget);
    hedging::countCall(m_hedging, service, m_settings.retryRatio);
}

bool Entry::takeRetry(const std::string &service)
{
    return admission::takeRetry(m_dispatch.retryBudgets[service]);
}

} // namespace mimosahollow::ingress
