#include "ingress/callrelay.h"

#include "ingress/callrelayinternal.h"
#include "mimosahollow/dispatch/dispatch.h"
#include "mimosahollow/dispatch/loadresults.h"
#include "mimosahollow/observability/decisionline.h"
#include "mimosahollow/observability/log.h"
#include "mimosahollow/quarantine/requestname.h"
#include "mimosahollow/quarantine/times.h"

#include <boost/algorithm/string/join.hpp>

#include <algorithm>
#include <array>
#include <random>

namespace mimosahollow::ingress {

namespace asio = boost::asio;

namespace {

using Clock = std::chrono::steady_clock;

/** Limits attempts that reach no backend server too; those do not count towards the attempt limit of the route. */
constexpr unsigned maximumDispatchRounds = 6;
constexpr Duration staleRetryAfter = milliseconds(500); // an election takes less than a second
constexpr Duration rateRetryAfter = milliseconds(1000); // the token bucket holds about one second of its rate
constexpr Duration notRunRetryAfter = milliseconds(300);

LocalResponse makeRefusal(const dispatch::Refuse &refusal)
{
    const bool isQuarantined = refusal.cause == dispatch::RefusalCause::QuarantinedPrompt;
    const RefusalReason reason = isQuarantined ? RefusalReason::PromptQuarantined : RefusalReason::NoCapacity;
    return {reason, std::string(dispatch::toString(refusal.cause)), refusal.retryAfter, 503};
}

constexpr std::array<std::string_view, 9> endNames{"answered", "caller-left", "unreachable", "not-run", "missing", "failed", "cut", "timed-out", "superseded"};

dispatch::CallResult resultOf(AttemptEnd end, unsigned status)
{
    switch (end) {
    case AttemptEnd::Answered:
        return status >= 500 ? dispatch::CallResult::Failed : dispatch::CallResult::Answered;
    case AttemptEnd::CallerLeft:
    case AttemptEnd::Superseded:
        return dispatch::CallResult::Abandoned;
    case AttemptEnd::Unreachable:
        return dispatch::CallResult::Unreachable;
    case AttemptEnd::NotRun:
    case AttemptEnd::Missing:
        return dispatch::CallResult::NotRun;
    case AttemptEnd::Failed:
    case AttemptEnd::Cut:
    case AttemptEnd::TimedOut:
        break;
    }
    return dispatch::CallResult::Failed;
}

} // namespace

bool CallRelay::isRepeatable() const
{
    return m_route->kind == catalog::CallKind::Idempotent || (m_route->kind == catalog::CallKind::Stream && m_route->isResumable);
}

void CallRelay::logEnd(std::string_view outcome, unsigned status, std::string_view reason)
{
    const TimePoint now = Clock::now();
    observability::DecisionLine line("call");
    line.add("id", m_head.id).add("outcome", outcome).add("status", status).add("reason", reason);
    line.add("route", m_route == nullptr ? "" : m_route->name).add("organisation", m_organisation == nullptr ? "" : m_organisation->name);
    line.add("service", m_call.service)
        .add("model", m_head.model)
        .add("adapter", m_head.adapter)
        .add("tokens", static_cast<std::uint64_t>(m_tokens))
        .add("sends", m_sends)
        .add("ms", now - m_arrived);
    line.add("catalog", m_catalog ? m_catalog->catalog().version : 0).add("state-age-ms", std::min(m_entry.stateAge(), Duration(seconds(1000))));
    observability::logDecision(line.text());
}

bool CallRelay::endWithoutCaller(std::string_view when)
{
    m_entry.metrics().callEnded(observability::CallEnd::CallerLeft, Clock::now() - m_arrived);
    logEnd("caller-left", 0, when);
    return false;
}

void CallRelay::noteRejection(Attempt &attempt, AttemptEnd end)
{
    const dispatch::DispatchState &state = m_entry.dispatchState();
    if (end == AttemptEnd::Missing) {
        attempt.rejection = dispatch::missingCause(state, attempt.target, m_call, attempt.sentAt);
    } else if (end == AttemptEnd::NotRun) {
        const auto server = state.servers.find(attempt.target.server);
        attempt.rejection = server != state.servers.end() && server->second.isLeaving ? RejectionCause::Leaving : RejectionCause::Full;
    } else {
        return;
    }
    m_entry.metrics().rejected(*attempt.rejection);
}

void CallRelay::logAttempt(const Attempt &attempt)
{
    const auto &servers = m_entry.dispatchState().servers;
    const auto server = servers.find(attempt.target.server);
    observability::DecisionLine line("attempt");
    line.add("id", m_head.id).add("server", attempt.target.server).add("end", endNames.at(static_cast<std::size_t>(attempt.end))).add("status", attempt.status);
    const TimePoint now = Clock::now();
    line.add("waited-ms", attempt.startedAt - m_arrived).add("ms", now - attempt.startedAt).add("events", m_events.forwardedEvents);
    if (attempt.end == AttemptEnd::Failed || attempt.end == AttemptEnd::Cut) {
        // Tells a request or prompt that ends every backend server from calls that were running beside it.
        line.add("answering-ms", attempt.answerBegan ? now - *attempt.answerBegan : Duration{}).add("parts", boost::algorithm::join(m_call.fingerprints, "+"));
    }
    if (attempt.rejection) {
        line.add("cause", toString(*attempt.rejection));
    }
    if (server != servers.end()) {
        line.add("running", server->second.running).add("others", server->second.othersRunning).add("sequence", server->second.record.sequence);
    }
    observability::logDecision(line.text());
}

asio::awaitable<bool> CallRelay::refuse(LocalResponse response)
{
    if (response.retryAfter) {
        // Randomises the delay so that callers refused at the same time do not retry at the same time.
        const double spread = std::uniform_real_distribution<double>(0.7, 1.3)(m_entry.dispatchState().random);
        response.retryAfter = fromSeconds(toSeconds(*response.retryAfter) * spread);
    }
    m_entry.metrics().refused(response.reason);
    m_entry.metrics().callEnded(observability::CallEnd::Refused, Clock::now() - m_arrived);
    logEnd("refused", statusOf(response), response.detail);
    co_return co_await writeLocalResponse(m_caller, m_head.id, response);
}

void CallRelay::chooseService()
{
    std::uint64_t total = 0;
    for (const catalog::TrafficShare &share : m_route->split) {
        total += share.weight;
    }
    std::uint64_t draw = std::uniform_int_distribution<std::uint64_t>(0, total - 1)(m_entry.dispatchState().random);
    for (const catalog::TrafficShare &share : m_route->split) {
        if (draw < share.weight) {
            m_call.service = share.service;
            return;
        }
        draw -= share.weight;
    }
}

asio::awaitable<bool> CallRelay::run()
{
    m_entry.metrics().callStarted();
    if (m_entry.isLameDuckOver()) {
        m_caller.keepAlive = false;
        const LocalResponse response{RefusalReason::ShuttingDown, "the instance is stopping", notRunRetryAfter, 503};
        co_return co_await refuse(response);
    }
    const bool hasState = co_await m_entry.waitForState(*m_caller.watch);
    if (m_caller.watch->callerLeft()) {
        co_return endWithoutCaller("while waiting for a confirmed configuration");
    }
    m_catalog = m_entry.catalog();
    if (!hasState) {
        // Keys may have been withdrawn, or routes added, since the leader last confirmed the state.
        const LocalResponse response{RefusalReason::ConfigurationStale, "no confirmed configuration", staleRetryAfter, std::nullopt};
        co_return co_await refuse(response);
    }
    m_route = m_catalog->findRoute(m_head.host, m_head.path);
    if (m_route == nullptr) {
        const LocalResponse response{RefusalReason::UnknownRoute, "no route", std::nullopt, 404};
        co_return co_await refuse(response);
    }
    if (!m_route->isOpen && !m_catalog->catalog().isKeyless) {
        m_organisation = m_catalog->findOrganisation(m_head.key);
        if (m_organisation == nullptr) {
            const LocalResponse response{RefusalReason::InvalidKey, "unknown key", std::nullopt, 401};
            co_return co_await refuse(response);
        }
    }
    const Duration timeout = std::min(m_head.timeout.value_or(m_route->timeout), m_route->timeout);
    m_call.id = m_head.id;
    m_call.arrived = m_arrived;
    m_call.objectiveEnd = m_arrived + m_route->objective;
    m_call.deadline = m_arrived + timeout;
    m_call.priority = m_organisation != nullptr && m_organisation->priority >= 0 ? m_organisation->priority : m_route->priority;
    chooseService();
    const catalog::ServiceSpec *service = m_catalog->findService(m_call.service);
    if (service != nullptr && service->engine) {
        m_call.model = m_head.model;
        m_call.adapter = m_head.adapter;
        m_call.fingerprints = m_head.sharedParts;
    }
    const std::string_view method(m_request.method_string().data(), m_request.method_string().size());
    const std::string_view target(m_request.target().data(), m_request.target().size());
    const std::string_view organisation = m_organisation == nullptr ? std::string_view() : std::string_view(m_organisation->name);
    m_call.fingerprints.push_back(quarantine::requestName({organisation, method, m_head.host, target, m_request.body()}));
    if (dispatch::isQuarantined(m_entry.dispatchState(), m_call)) {
        const LocalResponse response = makeRefusal(dispatch::quarantineRefusal());
        co_return co_await refuse(response);
    }
    if (m_organisation != nullptr) {
        m_tokens = m_organisation->countsTokens ? m_head.tokens.value_or(m_organisation->plainTokens) : 1;
        const TokenOutcome outcome = co_await m_entry.acquireTokens(*m_organisation, m_tokens, *m_caller.watch);
        if (outcome == TokenOutcome::NoLeader && !m_caller.watch->callerLeft()) {
            const LocalResponse response{RefusalReason::NoQuorum, "no leader grants tokens", staleRetryAfter, 503};
            co_return co_await refuse(response);
        }
        if (outcome != TokenOutcome::Acquired) {
            if (m_caller.watch->callerLeft()) {
                co_return endWithoutCaller("while waiting for tokens");
            }
            const LocalResponse response{RefusalReason::RateLimited, "over the rate of the organisation", rateRetryAfter, 429};
            co_return co_await refuse(response);
        }
    }
    const bool isUsable = co_await runAttempts();
    if (m_organisation != nullptr && !m_usedTokens) {
        // Load pattern: an organisation at its limit whose calls backend servers reject. Without the refund they used a quarter of its rate.
        m_entry.refundTokens(m_organisation->name, m_tokens);
    }
    co_return isUsable;
}

LocalResponse CallRelay::makeFailureResponse(AttemptEnd end) const
{
    if (end == AttemptEnd::TimedOut && m_mayHaveRun) {
        return {RefusalReason::DeadlineExceeded, "the backend server has not answered in time", std::nullopt, 504};
    }
    if (m_mayHaveRun) {
        return {RefusalReason::BackendFailed, "the backend server failed", std::nullopt, 502};
    }
    return {RefusalReason::Overloaded, std::string(endNames.at(static_cast<std::size_t>(end))), notRunRetryAfter, 503};
}

asio::awaitable<bool> CallRelay::runAttempts()
{
    m_entry.countRequest(m_call.service);
    AttemptEnd last = AttemptEnd::Unreachable;
    for (unsigned round = 0; round < maximumDispatchRounds; ++round) {
        const ServerChoice choice = co_await m_entry.chooseServer(m_call, *m_caller.watch);
        if (std::holds_alternative<CallerDisconnected>(choice)) {
            co_return endWithoutCaller("while waiting for a backend server");
        }
        if (const auto *refusal = std::get_if<dispatch::Refuse>(&choice)) {
            if (m_headSent) {
                break;
            }
            if (!m_heldResponse.empty()) {
                co_return co_await sendHeldResponse();
            }
            if (m_mayHaveRun) {
                const LocalResponse response = makeFailureResponse(last);
                co_return co_await refuse(response);
            }
            const LocalResponse response = makeRefusal(*refusal);
            co_return co_await refuse(response);
        }
        AttemptPointer attempt = std::make_shared<Attempt>(m_entry, std::get<dispatch::Send>(choice));
        m_answering = nullptr;
        if (mayGetCopy(*attempt)) {
            attempt = co_await runWithCopy(attempt);
        } else {
            m_running.push_back(attempt.get());
            co_await runAttempt(*attempt);
        }
        last = attempt->end;
        m_status = attempt->status;
        logAttempt(*attempt);
        if (last == AttemptEnd::Answered) {
            m_entry.metrics().callEnded(observability::CallEnd::Completed, Clock::now() - m_arrived);
            logEnd("answered", m_status, "");
            co_return true;
        }
        if (last == AttemptEnd::CallerLeft) {
            co_return endWithoutCaller("while its call ran");
        }
        if (last == AttemptEnd::Cut || last == AttemptEnd::TimedOut || Clock::now() >= m_call.deadline) {
            break;
        }
        excludeServer(*attempt);
        if (last == AttemptEnd::Missing && m_attemptedServers.size() >= m_route->maximumAttempts) {
            m_call.pinnedServer = attempt->target.server; // the load of the adapter may finish slightly later than expected
        }
        if (last == AttemptEnd::Unreachable) {
            continue;
        }
        if (last == AttemptEnd::Failed && (!isRepeatable() || m_entry.isSuspected(m_call))) {
            break; // a repeat of a call whose prompt is suspected may end another backend server
        }
        const bool mayTryAnotherServer = m_attemptedServers.size() < m_route->maximumAttempts;
        if ((!mayTryAnotherServer && m_call.pinnedServer.empty()) || !m_entry.takeRetry(m_call.service)) {
            break;
        }
        m_entry.metrics().attemptRetried();
        if (last == AttemptEnd::Failed) {
            // Load pattern: a backend server with the only copy of an adapter fails. Its streams may wait for another copy as long as
            // new calls do; if the wait were measured from their original arrival, they would be refused at once.
            m_call.arrived = Clock::now();
            m_call.objectiveEnd = m_call.arrived + m_route->objective;
        }
    }
    if (m_headSent) {
        m_entry.metrics().callEnded(observability::CallEnd::Failed, Clock::now() - m_arrived);
        logEnd("cut", m_status, endNames.at(static_cast<std::size_t>(last)));
        m_caller.stream.close(); // without the final chunk, so that the caller detects the truncated response
        co_return false;
    }
    if (!m_heldResponse.empty()) {
        co_return co_await sendHeldResponse();
    }
    const LocalResponse response = makeFailureResponse(last);
    co_return co_await refuse(response);
}

asio::awaitable<bool> CallRelay::sendHeldResponse()
{
    m_entry.metrics().callEnded(observability::CallEnd::Completed, Clock::now() - m_arrived);
    logEnd("answered", m_heldStatus, "held");
    co_return co_await writeBytes(m_caller, m_heldResponse);
}

asio::awaitable<void> CallRelay::runAttempt(Attempt &attempt)
{
    const dispatch::Send &target = attempt.target;
    ServerExchange &exchange = attempt.exchange;
    m_caller.watch->setInterrupt([this] {
        for (Attempt *running : m_running) {
            running->exchange.abort();
        }
    });
    AttemptEnd end = attempt.isSuperseded ? AttemptEnd::Superseded : AttemptEnd::CallerLeft;
    if (!m_caller.watch->callerLeft() && !attempt.isSuperseded) {
        ExchangeError error = co_await exchange.open(m_head.id, m_carriers, m_call.deadline);
        if (error == ExchangeError::None && !m_caller.watch->callerLeft()) {
            ForwardedHeaders added;
            added.organisation = m_organisation == nullptr ? std::string() : m_organisation->name;
            added.expectedServer = target.server;
            added.expectedVersion = target.adapterVersion;
            added.remaining = m_call.deadline - Clock::now();
            added.lastEventId = m_events.forwardedEvents > 0 ? m_events.lastId : std::nullopt;
            if (!m_call.model.empty()) {
                added.priority = std::clamp(m_call.priority, 0, 9);
            }
            m_attemptedServers.insert(target.server);
            ++m_sends;
            awaitAnswer(attempt);
            error = co_await exchange.begin(makeForwardedHead(m_request, m_entry.settings().headers, added), m_request.body(), m_head.id, m_call.deadline);
            if (error == ExchangeError::None) {
                m_entry.readNotices(target.server, target.born, exchange);
                m_entry.loadTested(target, m_call, exchange.status(), attempt.sentAt);
                if (exchange.status() != 421) { // which another backend server at the same address sends
                    m_entry.limitStated(target.server, exchange.header(m_entry.settings().headers.serverLimit));
                }
                end = co_await relayResponse(attempt);
                noteRejection(attempt, end);
            } else {
                end = endOfExchange(attempt, error);
            }
        } else {
            end = endOfExchange(attempt, error);
        }
    }
    answerEnded(attempt, false);
    std::erase(m_running, &attempt);
    if (m_running.empty()) {
        m_caller.watch->clearInterrupt();
    }
    judgeRequest(attempt, end);
    const bool hasNotRun = end == AttemptEnd::NotRun || end == AttemptEnd::Missing || end == AttemptEnd::Unreachable;
    m_usedTokens = m_usedTokens || (m_attemptedServers.contains(target.server) && !hasNotRun);
    if (attempt.sentAt != TimePoint{} && !hasNotRun) {
        dispatch::recordCallTime(m_entry.dispatchState(), target.server, Clock::now() - attempt.sentAt);
    }
    if (end == AttemptEnd::Failed || end == AttemptEnd::Cut || end == AttemptEnd::TimedOut) {
        m_mayHaveRun = true;
    }
    if (m_caller.watch->callerLeft()) {
        end = AttemptEnd::CallerLeft;
    }
    attempt.end = end;
    m_entry.callEnded(target.server, m_call, resultOf(end, attempt.status));
}

/** Tells what the end of an attempt says about the request and its prompt. */
void CallRelay::judgeRequest(const Attempt &attempt, AttemptEnd end)
{
    const bool isSuccess = attempt.answerBegan && attempt.status >= 200 && attempt.status < 300;
    // A call without the head of an answer may have waited for its turn, so it may have ended its server at any time.
    const bool isShort = !attempt.answerBegan || Clock::now() - *attempt.answerBegan < quarantine::firstTokensTime;
    const bool isBroken = (end == AttemptEnd::Failed || end == AttemptEnd::Cut) && (isSuccess || attempt.exchange.isLost());
    // The end of an answer without a length may also be that of its backend server.
    const bool isOpenEnded = end == AttemptEnd::Answered && isSuccess && attempt.exchange.endsWithConnection();
    if (isShort && (isBroken || isOpenEnded)) {
        m_entry.answerBroke(attempt.target, m_call);
    } else if (end == AttemptEnd::Answered && isSuccess) {
        m_entry.answeredSoundly(m_call);
    }
}

void CallRelay::excludeServer(const Attempt &attempt)
{
    if (attempt.end == AttemptEnd::Missing) {
        m_entry.handleMissingModel(attempt.target.server, m_call);
    } else {
        m_call.triedServers.insert(attempt.target.server);
    }
}

asio::awaitable<bool> relayCall(CallerConnection &caller, const CallerRequest &request)
{
    CallRelay relay(caller, request);
    co_return co_await relay.run();
}

} // namespace mimosahollow::ingress
