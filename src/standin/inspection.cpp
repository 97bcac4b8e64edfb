#include "enginestate.h"

#include "gateway/answers.h"

#include <boost/json/array.hpp>

#include <array>

namespace mimosahollow::standin {

namespace asio = boost::asio;
namespace json = boost::json;
using gateway::HttpRequest;

namespace {

constexpr std::array<std::string_view, 5> stateNames{"running", "completed", "cancelled", "not-run", "failed"};

json::object describe(const EngineCall &call)
{
    json::object headers;
    for (const auto &[name, value] : call.headers) {
        headers[name] = value;
    }
    return {{"number", call.number},
            {"method", call.method},
            {"target", call.target},
            {"headers", std::move(headers)},
            {"body", call.body},
            {"adapter", call.adapter},
            {"first_token", call.firstToken},
            {"tokens", call.tokens},
            {"state", stateNames[static_cast<std::size_t>(call.state)]}};
}

json::object describeCalls(const EngineState &state)
{
    json::array calls;
    for (const auto &call : state.calls) {
        calls.push_back(describe(*call));
    }
    return {{"incarnation", state.incarnation}, {"received", state.received}, {"running", state.running}, {"calls", std::move(calls)}};
}

std::uint32_t numberField(const json::object &object, std::string_view field)
{
    const json::value *value = object.if_contains(field);
    json::error_code error;
    const auto number = value == nullptr ? std::uint32_t{0} : value->to_number<std::uint32_t>(error);
    return error ? 0 : number;
}

EngineFaults readFaults(const json::object &object)
{
    const auto flag = [&](std::string_view field) {
        const json::value *value = object.if_contains(field);
        return value != nullptr && value->is_bool() && value->get_bool();
    };
    EngineFaults faults;
    faults.dieAfterTokens = numberField(object, "die_after_tokens");
    faults.endAfterTokens = numberField(object, "end_after_tokens");
    faults.failResumes = flag("fail_resumes");
    faults.wrongRequestId = flag("wrong_request_id");
    faults.foreignAnswerFirst = flag("foreign_answer_first");
    faults.closeSilently = flag("close_silently");
    faults.hang = flag("hang");
    faults.answerDelay = milliseconds(numberField(object, "answer_delay_ms"));
    faults.namedLimit = textField(object, "named_limit");
    faults.refuseLoads = flag("refuse_loads");
    faults.hangLoads = flag("hang_loads");
    faults.loadDelay = milliseconds(numberField(object, "load_delay_ms"));
    faults.cold = flag("cold");
    return faults;
}

} // namespace

asio::awaitable<bool> handleInspection(EngineState &state, EngineConnection &connection, const HttpRequest &request)
{
    json::object body{{"error", "unknown path"}};
    unsigned status = 404;
    bool restarts = false;
    if (request.method() == boost::beast::http::verb::get && request.target() == "/standin/calls") {
        body = describeCalls(state);
        status = 200;
    } else if (request.method() == boost::beast::http::verb::post && request.target() == "/standin/faults") {
        state.options.faults = readFaults(parseBody(request.body()));
        body = {{"result", "done"}};
        status = 200;
    } else if (request.method() == boost::beast::http::verb::post && request.target() == "/standin/restart") {
        restarts = true;
        body = {{"result", "done"}};
        status = 200;
    }
    const auto sent = co_await gateway::sendResponse(connection.stream, respond(request, status, body));
    if (restarts) {
        state.connections.erase(&connection); // this one has its answer and ends in order
        restartEmpty(state);
        co_return false;
    }
    co_return sent == gateway::ConnectionState::KeepAlive;
}

} // namespace mimosahollow::standin
