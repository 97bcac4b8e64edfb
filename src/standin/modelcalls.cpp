#include "enginestate.h"

#include "gateway/answers.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <charconv>

namespace mimosahollow::standin {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using gateway::HttpRequest;
using gateway::HttpResponse;

namespace {

constexpr std::uint32_t defaultTokens = 16;
constexpr std::int64_t maximumTokens = 1'000'000;
constexpr seconds hangTime{600};
constexpr std::string_view foreignRequestId = "0000000000000000-0";

/** Counts a running call for as long as it lives. */
class RunningCount
{
public:
    RunningCount(EngineState &state, std::string adapter) : m_state(state), m_adapter(std::move(adapter))
    {
        ++m_state.running;
        add(1);
    }
    ~RunningCount()
    {
        --m_state.running;
        add(-1);
    }
    RunningCount(const RunningCount &) = delete;
    RunningCount &operator=(const RunningCount &) = delete;

private:
    void add(int change)
    {
        // A restart forgets the adapters while their calls still end.
        const auto found = m_state.adapters.find(m_adapter);
        if (found != m_state.adapters.end() && (change > 0 || found->second > 0)) {
            found->second += static_cast<std::uint32_t>(change);
        }
    }

    EngineState &m_state;
    std::string m_adapter;
};

/** What a call asks for. */
struct Generation
{
    bool chat = false;
    bool stream = false;
    bool usage = false;
    std::string model;
    std::string requestId;
    std::uint32_t tokens = defaultTokens;
};

bool flag(const json::object &object, std::string_view field)
{
    const json::value *value = object.if_contains(field);
    return value != nullptr && value->is_bool() && value->get_bool();
}

Generation readGeneration(const HttpRequest &request, const json::object &body, const std::string &adapter)
{
    Generation generation;
    generation.chat = request.target() == "/v1/chat/completions";
    generation.stream = flag(body, "stream");
    const json::value *options = body.if_contains("stream_options");
    generation.usage = options != nullptr && options->is_object() && flag(options->get_object(), "include_usage");
    generation.model = textField(body, "model") + (adapter.empty() ? "" : ":" + adapter);
    generation.requestId = std::string(request["X-Request-Id"]);
    const json::value *maximum = body.if_contains("max_tokens");
    if (maximum != nullptr && maximum->is_int64()) {
        generation.tokens = static_cast<std::uint32_t>(std::clamp<std::int64_t>(maximum->get_int64(), 1, maximumTokens));
    }
    return generation;
}

std::string tokenText(std::uint32_t token)
{
    return "word" + std::to_string(token) + " ";
}

/** Text before and after the token in each event; only the token differs, so that generating costs little. */
std::pair<std::string, std::string> eventFrame(const Generation &generation)
{
    const std::string model = json::serialize(json::value(generation.model));
    const std::string head = std::string("data: {\"object\":\"") + (generation.chat ? "chat.completion.chunk" : "text_completion") + "\",\"model\":" + model;
    return generation.chat ? std::pair(head + R"(,"choices":[{"delta":{"content":")", std::string("\"},\"index\":0}]}\n\n"))
                           : std::pair(head + R"(,"choices":[{"text":")", std::string("\",\"index\":0}]}\n\n"));
}

json::object usage(std::uint32_t tokens)
{
    return {{"completion_tokens", tokens}};
}

std::string endEvents(const Generation &generation)
{
    std::string events;
    if (generation.usage) {
        const json::object last{{"model", generation.model}, {"choices", json::array()}, {"usage", usage(generation.tokens)}};
        events = "data: " + json::serialize(last) + "\n\n";
    }
    return events + "data: [DONE]\n\n";
}

json::object wholeAnswer(const Generation &generation)
{
    std::string content;
    for (std::uint32_t token = 0; token < generation.tokens; ++token) {
        content += tokenText(token);
    }
    json::object choice{{"index", 0}, {"finish_reason", "length"}};
    if (generation.chat) {
        choice["message"] = json::object{{"role", "assistant"}, {"content", content}};
    } else {
        choice["text"] = content;
    }
    return {{"object", generation.chat ? "chat.completion" : "text_completion"},
            {"model", generation.model},
            {"choices", json::array{choice}},
            {"usage", usage(generation.tokens)}};
}

bool isFaulty(std::uint32_t limit, std::uint32_t token, const EngineCall &call)
{
    // A resumed stream does not fail at the same place again.
    return limit > 0 && token == limit && call.firstToken == 0;
}

asio::awaitable<bool> writeText(EngineConnection &connection, std::string_view text)
{
    const auto [error, bytes] = co_await asio::async_write(connection.stream, http::make_chunk(asio::buffer(text)), asio::as_tuple(asio::use_awaitable));
    static_cast<void>(bytes);
    co_return !error;
}

asio::awaitable<bool> writeLast(EngineConnection &connection)
{
    const auto [error, bytes] = co_await asio::async_write(connection.stream, http::make_chunk_last(), asio::as_tuple(asio::use_awaitable));
    static_cast<void>(bytes);
    co_return !error;
}

template<typename Message>
void nameLimit(const EngineState &state, Message &answer)
{
    if (!state.options.faults.namedLimit.empty()) {
        answer.set("X-Server-Limit", state.options.faults.namedLimit);
    }
}

asio::awaitable<bool> writeStreamHead(const EngineState &state, EngineConnection &connection, const Generation &generation, const EngineCall &call)
{
    http::response<http::empty_body> head(http::status::ok, 11);
    head.set(http::field::content_type, "text/event-stream");
    head.set("X-Request-Id", generation.requestId);
    if (state.options.supportsResume) {
        head.set("X-Resume", "tokens");
    }
    if (call.firstToken > 0) {
        head.set("X-Resume-From", std::to_string(call.firstToken));
    }
    nameLimit(state, head);
    head.chunked(true);
    http::response_serializer<http::empty_body> serializer(head);
    connection.stream.expires_never();
    const auto [error, bytes] = co_await http::async_write_header(connection.stream, serializer, asio::as_tuple(asio::use_awaitable));
    static_cast<void>(bytes);
    co_return !error;
}

asio::awaitable<bool> streamTokens(EngineState &state, EngineConnection &connection, const Generation &generation, EngineCall &call)
{
    if (!co_await writeStreamHead(state, connection, generation, call)) {
        co_return false;
    }
    const auto [before, after] = eventFrame(generation);
    std::string event;
    for (std::uint32_t token = call.firstToken; token < generation.tokens; ++token) {
        if (isFaulty(state.options.faults.dieAfterTokens, token, call)) {
            call.state = EngineCallState::Failed;
            // Half an event first: the gateway must not pass it on.
            co_await writeText(connection, before);
            resetConnection(connection);
            co_return false;
        }
        if (isFaulty(state.options.faults.endAfterTokens, token, call)) {
            call.state = EngineCallState::Failed;
            co_return co_await writeLast(connection);
        }
        if (!co_await pauseFor(connection, stretched(state, state.options.tokenTime))) {
            co_return false;
        }
        event.assign(before).append(tokenText(token)).append(after);
        if (!co_await writeText(connection, event)) {
            co_return false;
        }
        ++call.tokens;
    }
    const bool written = co_await writeText(connection, endEvents(generation)) && co_await writeLast(connection);
    call.state = written ? EngineCallState::Completed : EngineCallState::Cancelled;
    co_return written;
}

asio::awaitable<bool> sendWhole(EngineState &state, EngineConnection &connection, const Generation &generation, const HttpRequest &request, EngineCall &call)
{
    if (!co_await pauseFor(connection, stretched(state, state.options.tokenTime * generation.tokens))) {
        co_return false;
    }
    HttpResponse response = respond(request, 200, wholeAnswer(generation));
    response.set("X-Request-Id", generation.requestId);
    nameLimit(state, response);
    call.tokens = generation.tokens;
    call.state = EngineCallState::Completed;
    co_return co_await gateway::sendResponse(connection.stream, std::move(response)) == gateway::ConnectionState::KeepAlive;
}

/** Applies the faults that come before an answer. Returns false when there will be none. */
asio::awaitable<bool> misbehaveBeforeAnswer(const EngineState &state, EngineConnection &connection, const HttpRequest &request, std::string &requestId)
{
    const EngineFaults faults = state.options.faults;
    if (!co_await pauseFor(connection, faults.hang ? Duration(hangTime) : faults.answerDelay)) {
        co_return false;
    }
    if (faults.foreignAnswerFirst) {
        HttpResponse foreign = respond(request, 200, {{"answer", "of another call"}});
        foreign.set("X-Request-Id", std::string(foreignRequestId));
        co_await gateway::sendResponse(connection.stream, std::move(foreign));
    }
    if (faults.wrongRequestId) {
        requestId = foreignRequestId;
    }
    co_return true;
}

} // namespace

asio::awaitable<bool> handleModelCall(EngineState &state, EngineConnection &connection, const HttpRequest &request)
{
    const auto call = recordCall(state, request);
    const json::object body = parseBody(request.body());
    call->adapter = textField(body, "adapter");
    if (!call->adapter.empty() && !state.adapters.contains(call->adapter)) {
        call->state = EngineCallState::NotRun;
        HttpResponse response = respond(request, 409, {{"error", "adapter is not loaded"}});
        response.set("X-Not-Run", "adapter-missing");
        co_return co_await gateway::sendResponse(connection.stream, std::move(response)) == gateway::ConnectionState::KeepAlive;
    }
    const RunningCount running(state, call->adapter);
    Generation generation = readGeneration(request, body, call->adapter);
    if (state.options.supportsResume) {
        const auto from = request["X-Resume-From"];
        std::from_chars(from.data(), from.data() + from.size(), call->firstToken);
    }
    if (call->firstToken > 0 && state.options.faults.failResumes) {
        call->state = EngineCallState::Failed;
        HttpResponse response = respond(request, 500, {{"error", "the stream can't be resumed"}});
        response.set("X-Request-Id", generation.requestId);
        co_return co_await gateway::sendResponse(connection.stream, std::move(response)) == gateway::ConnectionState::KeepAlive;
    }
    bool keepAlive = co_await misbehaveBeforeAnswer(state, connection, request, generation.requestId);
    if (keepAlive) {
        keepAlive =
            generation.stream ? co_await streamTokens(state, connection, generation, *call) : co_await sendWhole(state, connection, generation, request, *call);
    }
    if (call->state == EngineCallState::Running) {
        call->state = EngineCallState::Cancelled;
    }
    state.completed += call->state == EngineCallState::Completed ? 1 : 0;
    co_return keepAlive;
}

asio::awaitable<bool> handleServiceCall(EngineState &state, EngineConnection &connection, const HttpRequest &request)
{
    const auto call = recordCall(state, request);
    const RunningCount running(state, {});
    std::string requestId(request["X-Request-Id"]);
    const bool answers =
        co_await misbehaveBeforeAnswer(state, connection, request, requestId) && co_await pauseFor(connection, stretched(state, state.options.tokenTime));
    if (!answers) {
        call->state = EngineCallState::Cancelled;
        co_return false;
    }
    HttpResponse response = respond(
        request,
        200,
        {{"service", state.options.kind}, {"server", state.options.name}, {"path", request.target()}, {"calls", call->number}, {"echo", request.body()}});
    response.set("X-Request-Id", requestId);
    nameLimit(state, response);
    call->state = EngineCallState::Completed;
    ++state.completed;
    co_return co_await gateway::sendResponse(connection.stream, std::move(response)) == gateway::ConnectionState::KeepAlive;
}

} // namespace mimosahollow::standin
