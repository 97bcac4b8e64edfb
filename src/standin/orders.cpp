#include "enginestate.h"

#include "gateway/answers.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace mimosahollow::standin {

namespace asio = boost::asio;
namespace json = boost::json;
using gateway::HttpRequest;

namespace {

constexpr seconds hangTime{600};

/** Result of an order. */
struct OrderAnswer
{
    unsigned status = 200;
    std::string_view message = "done";
};

asio::awaitable<OrderAnswer> load(EngineState &state, EngineConnection &connection, const std::string &adapter)
{
    const EngineFaults faults = state.options.faults;
    if (faults.refuseLoads) {
        co_return OrderAnswer{503, "loads are refused"};
    }
    // A load goes on when the order's connection is closed, as in a real engine; only the answer is lost.
    co_await pauseFor(connection, faults.hangLoads ? Duration(hangTime) : stretched(state, state.options.loadTime) + faults.loadDelay);
    if (!state.adapters.contains(adapter) && state.adapters.size() >= state.options.adapterSlots) {
        co_return OrderAnswer{507, "no adapter slot is free"};
    }
    state.adapters.try_emplace(adapter, 0);
    co_return OrderAnswer{};
}

OrderAnswer unload(EngineState &state, const std::string &adapter)
{
    const auto found = state.adapters.find(adapter);
    if (found == state.adapters.end()) {
        return {};
    }
    if (found->second > 0) {
        return {409, "adapter is in use"};
    }
    state.adapters.erase(found);
    return {};
}

} // namespace

asio::awaitable<bool> handleOrder(EngineState &state, EngineConnection &connection, const HttpRequest &request)
{
    const json::object order = parseBody(request.body());
    const json::value *fencingValue = order.if_contains("fencing");
    json::error_code error;
    const auto fencing = fencingValue != nullptr && fencingValue->is_number() ? fencingValue->to_number<std::uint64_t>(error) : 0;
    const std::string adapter = textField(order, "adapter");
    const std::string kind = textField(order, "order");
    OrderAnswer answer{400, "unknown order"};
    if (state.options.checksFencing && fencing < state.highestFencing) {
        answer = {412, "old fencing number"};
    } else {
        state.highestFencing = std::max(state.highestFencing, fencing);
        if (kind == "load" && !adapter.empty()) {
            answer = co_await load(state, connection, adapter);
        } else if (kind == "unload" && !adapter.empty()) {
            answer = unload(state, adapter);
        }
    }
    json::object body;
    body["result"] = answer.message;
    gateway::HttpResponse response = respond(request, answer.status, body);
    co_return co_await gateway::sendResponse(connection.stream, std::move(response)) == gateway::ConnectionState::KeepAlive;
}

} // namespace mimosahollow::standin
