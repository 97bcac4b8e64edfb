#include "ingress/callrelay.h"

#include "ingress/eventrelay.h"
#include "ingress/responsewriter.h"
#include "ingress/serverexchange.h"
#include "mimosahollow/dispatch/dispatch.h"
#include "mimosahollow/observability/decisionline.h"
#include "mimosahollow/observability/log.h"
#include "mimosahollow/quarantine/requestname.h"
#include "mimosahollow/quarantine/times.h"

#include <boost/algorithm/string/join.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <array>
#include <random>
#include <set>
#include <vector>

namespace mimosahollow::ingress {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

using Clock = std::chrono::steady_clock;

/** Limits attempts that reach no backend server too; those do not count towards the attempt limit of the route. */
constexpr unsigned maximumDispatchRounds = 6;
constexpr std::size_t maximumEventBytes = 262'144; // an event holds a few tokens; bytes without the end of an event are no stream
constexpr Duration staleRetryAfter = milliseconds(500); // an election takes less than a second
constexpr Duration rateRetryAfter = milliseconds(1000); // the token bucket holds about one second of its rate
constexpr Duration notRunRetryAfter = milliseconds(300);

LocalResponse makeRefusal(const dispatch::Refuse &refusal)
{
    const bool isQuarantined = refusal.cause == dispatch::RefusalCause::QuarantinedPrompt;
    const RefusalReason reason = isQuarantined ? RefusalReason::PromptQuarantined : RefusalReason::NoCapacity;
    return {reason, std::string(dispatch::toString(refusal.cause)), refusal.retryAfter, 503};
}

enum class AttemptEnd : std::uint8_t {
    Answered, /**< The caller received the complete response. */
    CallerLeft,
    Unreachable, /**< No byte was sent. */
    NotRun, /**< The backend server stated that it did not execute the call. */
    Missing, /**< Not executed, since the backend server does not hold the adapter or is not the expected one. */
    Failed, /**< The call may have been executed; the caller received nothing yet, or only complete events. */
    Cut, /**< The caller received part of a response that cannot be resumed. */
    TimedOut,
};

AttemptEnd endOfWrite(bool isWritten)
{
    return isWritten ? AttemptEnd::Answered : AttemptEnd::CallerLeft;
}

constexpr std::array<std::string_view, 8> endNames{"answered", "caller-left", "unreachable", "not-run", "missing", "failed", "cut", "timed-out"};

/** State of one call from admission to the end of the response. */
class CallRelay
{
public:
    CallRelay(CallerConnection &caller, const CallerRequest &request)
        : m_caller(caller), m_entry(caller.entry), m_request(request), m_head(parseCallHead(request, caller.entry.settings().headers)), m_arrived(Clock::now())
    {
        m_events.lastId = m_head.lastEventId;
    }

    asio::awaitable<bool> run();

private:
    asio::awaitable<bool> refuse(LocalResponse response);
    asio::awaitable<bool> runAttempts();
    asio::awaitable<AttemptEnd> runAttempt(const dispatch::Send &target);
    asio::awaitable<AttemptEnd> relayResponse(ServerExchange &exchange);
    asio::awaitable<AttemptEnd> relayBody(ServerExchange &exchange);
    asio::awaitable<AttemptEnd> relayEventStream(ServerExchange &exchange);
    asio::awaitable<bool> sendHeldResponse();
    [[nodiscard]] AttemptEnd endOfExchange(ExchangeError error) const;
    [[nodiscard]] std::string makeResponseHead(const ServerExchange &exchange, std::optional<std::size_t> length) const;
    [[nodiscard]] bool isRepeatable() const;
    [[nodiscard]] LocalResponse makeFailureResponse(AttemptEnd end) const;
    void chooseService();
    void judgeRequest(const dispatch::Send &target, const ServerExchange &exchange, AttemptEnd end);
    /** Ends the call without an answer. Returns that the connection is not usable. */
    bool endWithoutCaller(std::string_view when);
    void logEnd(std::string_view outcome, unsigned status, std::string_view reason);
    void logAttempt(const dispatch::Send &target, AttemptEnd end, TimePoint startedAt, unsigned status);

    CallerConnection &m_caller;
    Entry &m_entry;
    const CallerRequest &m_request;
    CallHead m_head;
    TimePoint m_arrived;
    std::shared_ptr<const catalog::CatalogIndex> m_catalog; // owns what m_route and m_organisation point to
    const catalog::CallRoute *m_route = nullptr;
    const catalog::OrganisationSpec *m_organisation = nullptr;
    dispatch::Call m_call;
    std::set<std::string> m_attemptedServers;
    std::vector<std::uint64_t> m_carriers; // numbers of the connections to backend servers that the call was sent on
    double m_tokens = 0; // charged to the organisation
    unsigned m_sends = 0;
    bool m_mayHaveRun = false;
    bool m_usedTokens = false; // a backend server has run the call, or may have
    bool m_headSent = false; // the response head was sent to the caller; no other response is possible
    unsigned m_status = 0; // of the newest response of a backend server
    std::optional<TimePoint> m_answerBegan; // when the head of that response arrived
    bool m_isSound = false; // a stream that lasts has been counted as a sound answer
    EventRelay m_events;
    std::string m_heldResponse; // error response of a backend server, forwarded if no other backend server gives a better one
};

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

void CallRelay::logAttempt(const dispatch::Send &target, AttemptEnd end, TimePoint startedAt, unsigned status)
{
    const auto &servers = m_entry.dispatchState().servers;
    const auto server = servers.find(target.server);
    observability::DecisionLine line("attempt");
    line.add("id", m_head.id).add("server", target.server).add("end", endNames.at(static_cast<std::size_t>(end))).add("status", status);
    const TimePoint now = Clock::now();
    line.add("waited-ms", startedAt - m_arrived).add("ms", now - startedAt).add("events", m_events.forwardedEvents);
    if (end == AttemptEnd::Failed || end == AttemptEnd::Cut) {
        // Tells a request or prompt that ends every backend server from calls that were running beside it.
        line.add("answering-ms", m_answerBegan ? now - *m_answerBegan : Duration{}).add("parts", boost::algorithm::join(m_call.fingerprints, "+"));
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
        const auto &target = std::get<dispatch::Send>(choice);
        const TimePoint startedAt = Clock::now();
        m_status = 0;
        m_answerBegan.reset();
        last = co_await runAttempt(target);
        logAttempt(target, last, startedAt, m_status);
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
        if (last == AttemptEnd::Missing) {
            m_entry.handleMissingModel(target.server, m_call);
            if (m_attemptedServers.size() >= m_route->maximumAttempts) {
                m_call.pinnedServer = target.server; // the load of the adapter may finish slightly later than expected
            }
        } else {
            m_call.triedServers.insert(target.server);
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
    logEnd("answered", m_status, "held");
    co_return co_await writeBytes(m_caller, m_heldResponse);
}

AttemptEnd CallRelay::endOfExchange(ExchangeError error) const
{
    if (m_caller.watch->callerLeft()) {
        return AttemptEnd::CallerLeft;
    }
    switch (error) {
    case ExchangeError::Unreachable:
        return AttemptEnd::Unreachable;
    case ExchangeError::TimedOut:
        return Clock::now() >= m_call.deadline ? AttemptEnd::TimedOut : AttemptEnd::Failed;
    case ExchangeError::None:
    case ExchangeError::Broken:
        break;
    }
    return AttemptEnd::Failed;
}

dispatch::CallResult resultOf(AttemptEnd end, unsigned status)
{
    switch (end) {
    case AttemptEnd::Answered:
        return status >= 500 ? dispatch::CallResult::Failed : dispatch::CallResult::Answered;
    case AttemptEnd::CallerLeft:
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

asio::awaitable<AttemptEnd> CallRelay::runAttempt(const dispatch::Send &target)
{
    ServerExchange exchange(m_entry, target.address);
    m_caller.watch->setInterrupt([&exchange] {
        exchange.abort();
    });
    AttemptEnd end = AttemptEnd::CallerLeft;
    if (!m_caller.watch->callerLeft()) {
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
            error = co_await exchange.begin(makeForwardedHead(m_request, m_entry.settings().headers, added), m_request.body(), m_head.id, m_call.deadline);
            if (error == ExchangeError::None) {
                m_entry.readNotices(target.server, target.born, exchange);
                if (exchange.status() != 421) { // which another backend server at the same address sends
                    m_entry.limitStated(target.server, exchange.header(m_entry.settings().headers.serverLimit));
                }
                end = co_await relayResponse(exchange);
            } else {
                end = endOfExchange(error);
            }
        } else {
            end = endOfExchange(error);
        }
    }
    m_caller.watch->clearInterrupt();
    judgeRequest(target, exchange, end);
    const bool hasNotRun = end == AttemptEnd::NotRun || end == AttemptEnd::Missing || end == AttemptEnd::Unreachable;
    m_usedTokens = m_usedTokens || (m_attemptedServers.contains(target.server) && !hasNotRun);
    if (end == AttemptEnd::Failed || end == AttemptEnd::Cut || end == AttemptEnd::TimedOut) {
        m_mayHaveRun = true;
    }
    if (m_caller.watch->callerLeft()) {
        end = AttemptEnd::CallerLeft;
    }
    m_entry.callEnded(target.server, m_call, resultOf(end, m_status));
    co_return end;
}

/** Tells what the end of an attempt says about the request and its prompt. */
void CallRelay::judgeRequest(const dispatch::Send &target, const ServerExchange &exchange, AttemptEnd end)
{
    const bool isSuccess = m_answerBegan && m_status >= 200 && m_status < 300;
    // A call without the head of an answer may have waited for its turn, so it may have ended its server at any time.
    const bool isShort = !m_answerBegan || Clock::now() - *m_answerBegan < quarantine::firstTokensTime;
    const bool isBroken = (end == AttemptEnd::Failed || end == AttemptEnd::Cut) && (isSuccess || exchange.isLost());
    // The end of an answer without a length may also be that of its backend server.
    const bool isOpenEnded = end == AttemptEnd::Answered && isSuccess && exchange.endsWithConnection();
    if (isShort && (isBroken || isOpenEnded)) {
        m_entry.answerBroke(target, m_call);
    } else if (end == AttemptEnd::Answered && isSuccess) {
        m_entry.answeredSoundly(m_call);
    }
}

asio::awaitable<AttemptEnd> CallRelay::relayResponse(ServerExchange &exchange)
{
    const HeaderNames &names = m_entry.settings().headers;
    m_status = exchange.status();
    m_answerBegan = Clock::now();
    if (m_status == 421 || !exchange.header(names.notRun).empty()) {
        const AttemptEnd notRun = m_status == 421 ? AttemptEnd::Missing : AttemptEnd::NotRun;
        if (const ExchangeError error = co_await exchange.discardBody(m_call.deadline); error == ExchangeError::None) {
            exchange.finish();
        }
        co_return notRun;
    }
    // These statuses are valid only with the not-run header. A response without a signature was not generated by a backend server.
    const bool isNotRunStatus = m_status == 408 || m_status == 429 || m_status == 503;
    if (isNotRunStatus || exchange.header(names.responseSignature).empty()) {
        co_return AttemptEnd::Failed;
    }
    const bool isSuccess = m_status >= 200 && m_status < 300;
    if (m_route->kind == catalog::CallKind::Stream && isSuccess) {
        co_return co_await relayEventStream(exchange);
    }
    if (m_headSent) {
        co_return AttemptEnd::Failed; // only events can follow in the body of a stream that has begun
    }
    co_return co_await relayBody(exchange);
}

std::string CallRelay::makeResponseHead(const ServerExchange &exchange, std::optional<std::size_t> length) const
{
    std::string head = "HTTP/1.1 " + std::to_string(exchange.status()) + " ";
    head.append(http::obsolete_reason(static_cast<http::status>(exchange.status()))).append("\r\n");
    const auto connection = exchange.fields()[http::field::connection];
    for (const auto &field : exchange.fields()) {
        const std::string_view name(field.name_string().data(), field.name_string().size());
        if (!isHopByHop(name, {connection.data(), connection.size()}) && field.name() != http::field::content_length) {
            head.append(name).append(": ").append(field.value().data(), field.value().size()).append("\r\n");
        }
    }
    if (length) {
        head += "Content-Length: " + std::to_string(*length) + "\r\n";
    } else {
        head += "Transfer-Encoding: chunked\r\n";
    }
    if (!m_caller.keepAlive) {
        head += "Connection: close\r\n";
    }
    head += "\r\n";
    return head;
}

/** Forwards a response once it is complete, or in chunks if it exceeds the buffer limit. */
asio::awaitable<AttemptEnd> CallRelay::relayBody(ServerExchange &exchange)
{
    std::string body;
    std::size_t previousSize = 0;
    bool isComplete = false;
    while (!isComplete && body.size() <= m_entry.settings().bufferedResponseBytes) {
        previousSize = body.size();
        const ExchangeError error = co_await exchange.readBody(body, m_call.deadline);
        if (error != ExchangeError::None) {
            co_return endOfExchange(error);
        }
        isComplete = body.size() == previousSize;
    }
    if (isComplete) {
        const bool isServerFault = m_status >= 500 && isRepeatable() && m_attemptedServers.size() < m_route->maximumAttempts;
        std::string text = makeResponseHead(exchange, body.size());
        exchange.finish();
        text += body;
        if (isServerFault) {
            m_heldResponse = std::move(text);
            co_return AttemptEnd::Failed;
        }
        const bool isWritten = co_await writeBytes(m_caller, text);
        co_return endOfWrite(isWritten);
    }
    m_headSent = true;
    const std::string head = makeResponseHead(exchange, std::nullopt);
    bool isWritten = co_await writeBytes(m_caller, head);
    if (isWritten) {
        isWritten = co_await writeChunk(m_caller, body);
    }
    if (!isWritten) {
        co_return AttemptEnd::CallerLeft;
    }
    for (;;) {
        body.clear();
        const ExchangeError error = co_await exchange.readBody(body, m_call.deadline);
        if (error != ExchangeError::None) {
            co_return m_caller.watch->callerLeft() ? AttemptEnd::CallerLeft : AttemptEnd::Cut;
        }
        if (body.empty()) {
            exchange.finish();
            isWritten = co_await writeBytes(m_caller, "0\r\n\r\n");
            co_return endOfWrite(isWritten);
        }
        isWritten = co_await writeChunk(m_caller, body);
        if (!isWritten) {
            co_return AttemptEnd::CallerLeft;
        }
    }
}

asio::awaitable<AttemptEnd> CallRelay::relayEventStream(ServerExchange &exchange)
{
    m_events.partial.clear();
    std::string bytes;
    std::string completeEvents;
    bool hasEvents = false; // of this backend server
    const auto cutOrFailed = [this] {
        return m_route->isResumable || !m_headSent ? AttemptEnd::Failed : AttemptEnd::Cut;
    };
    for (;;) {
        bytes.clear();
        completeEvents.clear();
        const ExchangeError error = co_await exchange.readBody(bytes, m_call.deadline);
        if (error != ExchangeError::None) {
            const AttemptEnd end = endOfExchange(error);
            co_return end == AttemptEnd::Failed ? cutOrFailed() : end;
        }
        const bool isEnd = bytes.empty();
        relayEvents(m_events, bytes, completeEvents);
        if (m_events.partial.size() > maximumEventBytes) {
            co_return cutOrFailed();
        }
        if (isEnd && !m_events.partial.empty()) {
            // The body was terminated correctly, but the last event is incomplete: the backend server stopped in the middle of it.
            co_return cutOrFailed();
        }
        if (isEnd && exchange.endsWithConnection() && !hasEvents && completeEvents.empty()) {
            co_return cutOrFailed(); // the connection was closed before the first event, and nothing else tells the end
        }
        hasEvents = hasEvents || !completeEvents.empty();
        if (!m_headSent && (!completeEvents.empty() || isEnd)) {
            m_headSent = true;
            m_entry.metrics().firstToken(Clock::now() - m_arrived);
            const std::string head = makeResponseHead(exchange, std::nullopt);
            const bool isWritten = co_await writeBytes(m_caller, head);
            if (!isWritten) {
                co_return AttemptEnd::CallerLeft;
            }
        }
        if (!completeEvents.empty()) {
            if (!m_isSound && Clock::now() - *m_answerBegan >= quarantine::firstTokensTime) {
                m_isSound = true;
                m_entry.answeredSoundly(m_call);
            }
            const bool isWritten = co_await writeChunk(m_caller, completeEvents);
            if (!isWritten) {
                co_return AttemptEnd::CallerLeft;
            }
        }
        if (isEnd) {
            exchange.finish();
            const bool isWritten = co_await writeBytes(m_caller, "0\r\n\r\n");
            co_return endOfWrite(isWritten);
        }
    }
}

} // namespace

asio::awaitable<bool> relayCall(CallerConnection &caller, const CallerRequest &request)
{
    CallRelay relay(caller, request);
    co_return co_await relay.run();
}

} // namespace mimosahollow::ingress
