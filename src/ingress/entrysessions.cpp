#include "ingress/entryinternal.h"

#include "mimosahollow/observability/decisionline.h"
#include "mimosahollow/observability/log.h"

namespace mimosahollow::ingress {

std::optional<callerlimits::ConnectionNumber> Entry::sessionOpened(boost::beast::tcp_stream &stream)
{
    boost::system::error_code error; // the caller may have closed the connection
    const auto endpoint = stream.socket().remote_endpoint(error);
    const auto number = callerlimits::openConnection(m_holdings, error ? std::string() : endpoint.address().to_string());
    m_callerStreams.emplace(number, &stream);
    ++m_sessions;
    metrics().setConnections(static_cast<std::uint32_t>(m_sessions));
    if (!makeRoom(number)) {
        sessionClosed(number);
        return std::nullopt;
    }
    return number;
}

void Entry::sessionClosed(callerlimits::ConnectionNumber number)
{
    callerlimits::closeConnection(m_holdings, number);
    m_callerStreams.erase(number);
    --m_sessions;
    metrics().setConnections(static_cast<std::uint32_t>(m_sessions));
    checkStopped();
}

bool Entry::holdBytes(callerlimits::ConnectionNumber number, std::size_t bytes)
{
    callerlimits::holdBytes(m_holdings, number, bytes);
    return makeRoom(number);
}

void Entry::sessionCallBegan(callerlimits::ConnectionNumber number)
{
    callerlimits::beginCall(m_holdings, number);
}

void Entry::sessionCallEnded(callerlimits::ConnectionNumber number)
{
    callerlimits::endCall(m_holdings, number);
}

/** Closes connections until the budgets hold. Returns false if @p requester is the one to go, or no other one can. */
bool Entry::makeRoom(callerlimits::ConnectionNumber requester)
{
    while (const auto chosen = callerlimits::connectionToClose(m_holdings)) {
        if (*chosen == requester) {
            return false;
        }
        observability::DecisionLine line("caller-closed");
        const callerlimits::HeldConnection &held = m_holdings.connections.at(*chosen);
        line.add("address", held.address).add("bytes", held.bytes).add("connections", m_holdings.connections.size()).add("total-bytes", m_holdings.bytes);
        observability::logDecision(line.text());
        callerlimits::closeConnection(m_holdings, *chosen);
        m_callerStreams.at(*chosen)->close(); // its session ends in the next turn of the event loop
    }
    return !callerlimits::isOverBudget(m_holdings);
}

} // namespace mimosahollow::ingress
