#pragma once

#include "mimosahollow/standin/enginecall.h"
#include "mimosahollow/standin/engineoptions.h"

#include "gateway/callerwatch.h"
#include "gateway/httptypes.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/json/object.hpp>

#include <deque>
#include <map>
#include <memory>
#include <set>

namespace mimosahollow::standin {

/** One connection to the stand-in. */
struct EngineConnection
{
    explicit EngineConnection(boost::asio::ip::tcp::socket socket) : stream(std::move(socket))
    {
    }
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    std::shared_ptr<gateway::CallerWatch> watch;
};

/** State of a stand-in backend server. Belongs to its one thread. */
struct EngineState
{
    EngineOptions options;
    std::uint64_t incarnation = 0;
    std::uint64_t highestFencing = 0;
    std::uint32_t running = 0;
    std::uint64_t completed = 0; /**< Since the last restart. */
    std::uint64_t received = 0;
    std::map<std::string, std::uint32_t> adapters; /**< Resident adapters and their running calls. */
    std::deque<std::shared_ptr<EngineCall>> calls; /**< The last ones, oldest first. */
    std::set<EngineConnection *> connections;
};

/** A new random incarnation number. */
[[nodiscard]] std::uint64_t randomIncarnation();

/** Whether the server is cold, with or without notice. */
[[nodiscard]] bool isCold(const EngineState &state) noexcept;

/** @p duration at the present speed of the server. */
[[nodiscard]] Duration stretched(const EngineState &state, Duration duration) noexcept;

/** Records a call that has arrived. */
[[nodiscard]] std::shared_ptr<EngineCall> recordCall(EngineState &state, const gateway::HttpRequest &request);

/** Closes the connection so that the other side sees a reset. */
void resetConnection(EngineConnection &connection);

/** Waits for @p duration. Returns false when the other side closes the connection meanwhile. */
[[nodiscard]] boost::asio::awaitable<bool> pauseFor(EngineConnection &connection, Duration duration);

/** A JSON answer to @p request, with its id. */
[[nodiscard]] gateway::HttpResponse respond(const gateway::HttpRequest &request, unsigned status, const boost::json::object &body);
[[nodiscard]] boost::json::object parseBody(const std::string &body);
[[nodiscard]] std::string textField(const boost::json::object &object, std::string_view field);

// Handlers of the parts of the protocol. Each returns whether the connection can carry another request.

[[nodiscard]] boost::asio::awaitable<bool> handleModelCall(EngineState &state, EngineConnection &connection, const gateway::HttpRequest &request);
[[nodiscard]] boost::asio::awaitable<bool> handleServiceCall(EngineState &state, EngineConnection &connection, const gateway::HttpRequest &request);
[[nodiscard]] boost::asio::awaitable<bool> handleOrder(EngineState &state, EngineConnection &connection, const gateway::HttpRequest &request);
[[nodiscard]] boost::asio::awaitable<bool> handleInspection(EngineState &state, EngineConnection &connection, const gateway::HttpRequest &request);

/** Closes all connections, forgets the adapters and takes a new incarnation. */
void restartEmpty(EngineState &state);

/** Announces and reports to one instance until the context stops. */
[[nodiscard]] boost::asio::awaitable<void> announceTo(EngineState &state, boost::asio::io_context &context, std::string target);

} // namespace mimosahollow::standin
