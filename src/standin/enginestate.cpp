#include "enginestate.h"

#include "gateway/answers.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <sodium.h>

namespace mimosahollow::standin {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::size_t maximumRecordedCalls = 10'000;
constexpr int coldFactor = 10;

} // namespace

std::uint64_t randomIncarnation()
{
    std::uint64_t value = 0;
    randombytes_buf(&value, sizeof value);
    return value >> 1U; // fits a signed JSON number
}

bool isCold(const EngineState &state) noexcept
{
    return state.options.faults.cold || state.completed < state.options.warmAfterCalls;
}

Duration stretched(const EngineState &state, Duration duration) noexcept
{
    const double others = state.running > 1 ? state.running - 1 : 0;
    const double factor = (state.options.faults.cold ? coldFactor : 1) * (1.0 + state.options.batchSlowdown * others);
    return std::chrono::duration_cast<Duration>(duration * factor);
}

std::shared_ptr<EngineCall> recordCall(EngineState &state, const gateway::HttpRequest &request)
{
    auto call = std::make_shared<EngineCall>();
    call->number = ++state.received;
    call->method = std::string(request.method_string());
    call->target = std::string(request.target());
    for (const auto &field : request) {
        call->headers.emplace_back(field.name_string(), field.value());
    }
    call->body = request.body();
    if (state.calls.size() >= maximumRecordedCalls) {
        state.calls.pop_front();
    }
    state.calls.push_back(call);
    return call;
}

void resetConnection(EngineConnection &connection)
{
    boost::system::error_code ignored;
    connection.stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    connection.stream.close();
}

asio::awaitable<bool> pauseFor(EngineConnection &connection, Duration duration)
{
    if (duration > Duration::zero()) {
        asio::steady_timer pause(connection.stream.get_executor(), duration);
        connection.watch->setInterrupt([&pause] {
            pause.cancel();
        });
        if (!connection.watch->callerLeft()) {
            co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
        }
        connection.watch->clearInterrupt();
    }
    co_return !connection.watch->callerLeft() && connection.stream.socket().is_open();
}

gateway::HttpResponse respond(const gateway::HttpRequest &request, unsigned status, const json::object &body)
{
    gateway::HttpResponse response = gateway::makeResponse(request, status, "application/json", json::serialize(body));
    response.set("X-Request-Id", request["X-Request-Id"]);
    return response;
}

json::object parseBody(const std::string &body)
{
    json::error_code error;
    json::value value = json::parse(body, error);
    return !error && value.is_object() ? std::move(value.get_object()) : json::object();
}

std::string textField(const json::object &object, std::string_view field)
{
    const json::value *value = object.if_contains(field);
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

void restartEmpty(EngineState &state)
{
    state.incarnation = randomIncarnation();
    state.highestFencing = 0;
    state.completed = 0;
    state.adapters.clear();
    for (EngineConnection *connection : state.connections) {
        resetConnection(*connection);
    }
}

} // namespace mimosahollow::standin
