#pragma once

#include "ingress/callerconnection.h"
#include "ingress/callerrequest.h"
#include "ingress/eventrelay.h"
#include "ingress/responsewriter.h"
#include "ingress/serverexchange.h"
#include "mimosahollow/core/rejection.h"
#include "mimosahollow/serverpace/streammeter.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace mimosahollow::ingress {

enum class AttemptEnd : std::uint8_t {
    Answered, /**< The caller received the complete response. */
    CallerLeft,
    Unreachable, /**< No byte was sent. */
    NotRun, /**< The backend server stated that it did not execute the call. */
    Missing, /**< Not executed, since the backend server does not hold the adapter or is not the expected one. */
    Failed, /**< The call may have been executed; the caller received nothing yet, or only complete events. */
    Cut, /**< The caller received part of a response that cannot be resumed. */
    TimedOut,
    Superseded, /**< Ended since another attempt of the same call brought the answer. */
};

/** One attempt of a call at a backend server. */
struct Attempt
{
    Attempt(Entry &entry, dispatch::Send server) : target(std::move(server)), exchange(entry, target.address), startedAt(std::chrono::steady_clock::now())
    {
    }
    dispatch::Send target;
    ServerExchange exchange;
    TimePoint startedAt{};
    unsigned status = 0; /**< Of its response; 0: none yet. */
    std::optional<TimePoint> answerBegan; /**< When the head of that response arrived. */
    TimePoint sentAt{}; /**< Begin of the exchange on an open connection. */
    bool isAwaited = false; /**< Sent, without an answer or first event yet. */
    serverpace::StreamMeter meter; /**< Of its events. */
    AttemptEnd end = AttemptEnd::CallerLeft;
    std::optional<RejectionCause> rejection; /**< Why its backend server has not run the call. */
    bool isSuperseded = false;
};

using AttemptPointer = std::shared_ptr<Attempt>;

/** State of one call from admission to the end of the response. */
class CallRelay
{
public:
    CallRelay(CallerConnection &caller, const CallerRequest &request)
        : m_caller(caller)
        , m_entry(caller.entry)
        , m_request(request)
        , m_head(parseCallHead(request, caller.entry.settings().headers))
        , m_arrived(std::chrono::steady_clock::now())
    {
        m_events.lastId = m_head.lastEventId;
    }

    boost::asio::awaitable<bool> run();

private:
    boost::asio::awaitable<bool> refuse(LocalResponse response);
    boost::asio::awaitable<bool> runAttempts();
    /** Runs @p attempt, which is in m_running until it ends. */
    boost::asio::awaitable<void> runAttempt(Attempt &attempt);
    boost::asio::awaitable<AttemptEnd> relayResponse(Attempt &attempt);
    boost::asio::awaitable<AttemptEnd> relayBody(Attempt &attempt);
    boost::asio::awaitable<AttemptEnd> relayEventStream(Attempt &attempt);
    boost::asio::awaitable<bool> sendHeldResponse();
    [[nodiscard]] AttemptEnd endOfExchange(const Attempt &attempt, ExchangeError error) const;
    [[nodiscard]] std::string makeResponseHead(const ServerExchange &exchange, std::optional<std::size_t> length) const;
    [[nodiscard]] bool isRepeatable() const;
    [[nodiscard]] LocalResponse makeFailureResponse(AttemptEnd end) const;
    void chooseService();
    void judgeRequest(const Attempt &attempt, AttemptEnd end);
    /** Keeps the call from the backend server of @p attempt, or from its copy of the adapter if that is missing. */
    void excludeServer(const Attempt &attempt);

    // Measurement of attempts (relayresponse.cpp).

    void awaitAnswer(Attempt &attempt);
    /** The attempt has its answer or first event, if @p isSound; it has ended otherwise. Has an effect once for each attempt. */
    void answerEnded(Attempt &attempt, bool isSound);
    void measureAnswer(Attempt &attempt);
    void measureEvents(Attempt &attempt, unsigned count, TimePoint now);
    /** A backend server runs the call, as its answer or its first event shows. A repeated or resumed call counts once. */
    void countRun();

    /** Ends the call without an answer. Returns that the connection is not usable. */
    bool endWithoutCaller(std::string_view when);
    void logEnd(std::string_view outcome, unsigned status, std::string_view reason);
    /** Notes why the backend server of @p attempt has not run the call, if it says so. */
    void noteRejection(Attempt &attempt, AttemptEnd end);
    void logAttempt(const Attempt &attempt);

    // Second copies (secondcopies.cpp).

    /** Runs @p first and, when its answer is late, one more attempt beside it. Returns the attempt that decides how the call goes on. */
    boost::asio::awaitable<AttemptPointer> runWithCopy(AttemptPointer first);
    [[nodiscard]] hedging::CopyDecision maySendCopy(const Attempt &first) const;
    /** Whether a copy may be sent now or later. */
    [[nodiscard]] bool mayGetCopy(const Attempt &first) const;
    /** The second copy, if it may be sent; otherwise @p decision tells why not. */
    [[nodiscard]] AttemptPointer makeCopy(const Attempt &first, hedging::CopyDecision &decision);
    void recordAnswer(const Attempt &attempt);
    void logCopy(const Attempt &first, const Attempt &copy);
    /**
     * Called before the first byte of the answer of @p attempt goes to the caller: from then on the call has this answer, and its other attempt is
     * ended. Returns false if another attempt was first.
     */
    [[nodiscard]] bool claimAnswer(const Attempt &attempt);

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
    bool m_isCounted = false; // as a call that a backend server has begun to run
    std::vector<Attempt *> m_running; // attempts that have not ended
    const Attempt *m_answering = nullptr; // whose answer goes to the caller
    bool m_isSound = false; // a stream that lasts has been counted as a sound answer
    EventRelay m_events;
    std::string m_heldResponse; // error response of a backend server, forwarded if no other backend server gives a better one
    unsigned m_heldStatus = 0; // of that response
};

} // namespace mimosahollow::ingress
