#include "engineserver.h"

#include "gateway/addresses.h"
#include "gateway/answers.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <sodium.h>

#include <algorithm>
#include <stdexcept>

namespace mimosahollow::standin {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;
using gateway::HttpRequest;
using gateway::HttpResponse;

namespace {

constexpr seconds announceInterval{1};
constexpr seconds callTimeout{600};
constexpr std::uint32_t defaultTokens = 16;

std::uint64_t randomIncarnation()
{
    std::uint64_t value = 0;
    randombytes_buf(&value, sizeof value);
    return value >> 1U; // fits a signed JSON number
}

std::string text(const json::object &object, std::string_view field)
{
    const json::value *value = object.if_contains(field);
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

json::object parseBody(const std::string &body)
{
    json::error_code error;
    json::value value = json::parse(body, error);
    return !error && value.is_object() ? std::move(value.get_object()) : json::object();
}

HttpResponse respond(const HttpRequest &request, unsigned status, const json::object &body)
{
    HttpResponse response = gateway::makeResponse(request, status, "application/json", json::serialize(body));
    response.set("X-Request-Id", request["X-Request-Id"]);
    return response;
}

json::object chunkObject(bool chat, const std::string &model, std::string_view word)
{
    json::object choice;
    if (chat) {
        choice["delta"] = json::object{{"content", word}};
    } else {
        choice["text"] = word;
    }
    choice["index"] = 0;
    return json::object{{"object", chat ? "chat.completion.chunk" : "text_completion"}, {"model", model}, {"choices", json::array{choice}}};
}

json::object wholeObject(bool chat, const std::string &model, const std::string &content, std::uint32_t tokens)
{
    json::object choice;
    if (chat) {
        choice["message"] = json::object{{"role", "assistant"}, {"content", content}};
    } else {
        choice["text"] = content;
    }
    choice["index"] = 0;
    choice["finish_reason"] = "length";
    return json::object{{"object", chat ? "chat.completion" : "text_completion"},
                        {"model", model},
                        {"choices", json::array{choice}},
                        {"usage", json::object{{"completion_tokens", tokens}}}};
}

/** Counts a running call for as long as it lives. */
class RunningCount
{
public:
    explicit RunningCount(std::uint32_t &count) : m_count(count)
    {
        ++m_count;
    }
    ~RunningCount()
    {
        --m_count;
    }
    RunningCount(const RunningCount &) = delete;
    RunningCount &operator=(const RunningCount &) = delete;

private:
    std::uint32_t &m_count;
};

} // namespace

EngineServer::EngineServer(EngineOptions options) : m_options(std::move(options)), m_incarnation(randomIncarnation()), m_context(1), m_acceptor(m_context)
{
}

EngineServer::~EngineServer()
{
    stop();
}

void EngineServer::start()
{
    const auto endpoint = parseEndpoint(m_options.address);
    if (!endpoint) {
        throw std::runtime_error("not an address: " + m_options.address);
    }
    m_acceptor.open(endpoint->protocol());
    m_acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
    m_acceptor.bind(*endpoint);
    m_acceptor.listen();
    asio::co_spawn(m_context, accept(), asio::detached);
    for (const std::string &target : m_options.announceTo) {
        asio::co_spawn(m_context, announce(target), asio::detached);
    }
    m_thread = std::thread([this] {
        m_context.run();
    });
}

void EngineServer::stop()
{
    m_context.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

asio::awaitable<void> EngineServer::accept()
{
    for (;;) {
        auto [error, socket] = co_await m_acceptor.async_accept(asio::as_tuple(asio::use_awaitable));
        if (error) {
            co_return;
        }
        asio::co_spawn(m_context, serve(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> EngineServer::serve(asio::ip::tcp::socket socket)
{
    beast::tcp_stream stream(std::move(socket));
    boost::system::error_code ignored;
    stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    beast::flat_buffer buffer;
    bool keepAlive = true;
    while (keepAlive) {
        HttpRequest request;
        stream.expires_after(callTimeout);
        const auto [error, bytes] = co_await http::async_read(stream, buffer, request, asio::as_tuple(asio::use_awaitable));
        static_cast<void>(bytes);
        if (error) {
            co_return;
        }
        keepAlive = co_await handle(stream, request);
    }
}

asio::awaitable<bool> EngineServer::handle(beast::tcp_stream &stream, const HttpRequest &request)
{
    if (request.target() == "/orders") {
        co_return co_await takeOrder(stream, request);
    }
    if (!m_options.plainService) {
        co_return co_await generate(stream, request);
    }
    ++m_serviceCalls;
    const RunningCount running(m_running);
    asio::steady_timer pause(m_context, m_options.tokenTime);
    co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
    json::object body;
    body["service"] = m_options.kind;
    body["server"] = m_options.name;
    body["path"] = request.target();
    body["calls"] = m_serviceCalls;
    body["echo"] = request.body();
    co_return co_await gateway::sendResponse(stream, respond(request, 200, body)) == gateway::ConnectionState::KeepAlive;
}

asio::awaitable<bool> EngineServer::generate(beast::tcp_stream &stream, const HttpRequest &request)
{
    const json::object call = parseBody(request.body());
    const std::string adapter = text(call, "adapter");
    const bool chat = request.target() == "/v1/chat/completions";
    const auto resident = m_adapters.find(adapter);
    if (!adapter.empty() && resident == m_adapters.end()) {
        json::object body;
        body["error"] = "adapter is not loaded";
        HttpResponse response = respond(request, 409, body);
        response.set("X-Not-Run", "adapter-missing");
        co_return co_await gateway::sendResponse(stream, std::move(response)) == gateway::ConnectionState::KeepAlive;
    }
    const RunningCount running(m_running);
    std::uint32_t unused = 0;
    const RunningCount adapterRunning(adapter.empty() ? unused : resident->second);
    const std::string model = text(call, "model") + (adapter.empty() ? "" : ":" + adapter);
    const json::value *maximum = call.if_contains("max_tokens");
    const auto tokens =
        maximum != nullptr && maximum->is_int64() ? static_cast<std::uint32_t>(std::clamp<std::int64_t>(maximum->get_int64(), 1, 4096)) : defaultTokens;
    const json::value *streamed = call.if_contains("stream");
    const bool wantsStream = streamed != nullptr && streamed->is_bool() && streamed->get_bool();
    asio::steady_timer pause(m_context);
    if (!wantsStream) {
        pause.expires_after(m_options.tokenTime * tokens);
        co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
        std::string content;
        for (std::uint32_t i = 0; i < tokens; ++i) {
            content += "word" + std::to_string(i) + " ";
        }
        co_return co_await gateway::sendResponse(stream, respond(request, 200, wholeObject(chat, model, content, tokens)))
            == gateway::ConnectionState::KeepAlive;
    }
    http::response<http::empty_body> head(http::status::ok, 11);
    head.set(http::field::content_type, "text/event-stream");
    head.set("X-Request-Id", request["X-Request-Id"]);
    head.chunked(true);
    http::response_serializer<http::empty_body> serializer(head);
    stream.expires_after(callTimeout);
    auto [error, bytes] = co_await http::async_write_header(stream, serializer, asio::as_tuple(asio::use_awaitable));
    for (std::uint32_t i = 0; i <= tokens && !error; ++i) {
        std::string event = "data: [DONE]\n\n";
        if (i < tokens) {
            pause.expires_after(m_options.tokenTime);
            co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
            event = "data: " + json::serialize(chunkObject(chat, model, "word" + std::to_string(i) + " ")) + "\n\n";
        }
        std::tie(error, bytes) = co_await asio::async_write(stream, http::make_chunk(asio::buffer(event)), asio::as_tuple(asio::use_awaitable));
    }
    if (!error) {
        std::tie(error, bytes) = co_await asio::async_write(stream, http::make_chunk_last(), asio::as_tuple(asio::use_awaitable));
    }
    co_return !error;
}

asio::awaitable<bool> EngineServer::takeOrder(beast::tcp_stream &stream, const HttpRequest &request)
{
    const json::object order = parseBody(request.body());
    const json::value *fencingValue = order.if_contains("fencing");
    const auto fencing = fencingValue != nullptr && fencingValue->is_number() ? fencingValue->to_number<std::uint64_t>() : 0;
    const std::string adapter = text(order, "adapter");
    const std::string kind = text(order, "order");
    unsigned status = 200;
    std::string message = "done";
    if (m_options.checksFencing && fencing < m_highestFencing) {
        status = 412;
        message = "old fencing number";
    } else if (kind == "load") {
        m_highestFencing = std::max(m_highestFencing, fencing);
        asio::steady_timer pause(m_context, m_options.loadTime);
        co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
        if (m_adapters.contains(adapter) || m_adapters.size() < m_options.adapterSlots) {
            m_adapters.try_emplace(adapter, 0);
        } else {
            status = 507;
            message = "no adapter slot is free";
        }
    } else if (kind == "unload") {
        m_highestFencing = std::max(m_highestFencing, fencing);
        const auto found = m_adapters.find(adapter);
        if (found != m_adapters.end() && found->second > 0) {
            status = 409;
            message = "adapter is in use";
        } else if (found != m_adapters.end()) {
            m_adapters.erase(found);
        }
    } else {
        status = 400;
        message = "unknown order";
    }
    json::object body;
    body["result"] = message;
    co_return co_await gateway::sendResponse(stream, respond(request, status, body)) == gateway::ConnectionState::KeepAlive;
}

std::string EngineServer::announcementBody() const
{
    json::array adapters;
    for (const auto &[name, running] : m_adapters) {
        adapters.emplace_back(name);
    }
    json::object body;
    body["name"] = m_options.name;
    body["address"] = m_options.address;
    body["failure_domain"] = m_options.failureDomain;
    body["kind"] = m_options.kind;
    body["incarnation"] = m_incarnation;
    body["slots"] = m_options.slots;
    body["adapter_slots"] = m_options.adapterSlots;
    body["cold_limit"] = m_options.coldLimit;
    body["checks_fencing"] = m_options.checksFencing;
    body["running"] = m_running;
    body["queued"] = 0;
    body["adapters"] = std::move(adapters);
    return json::serialize(body);
}

asio::awaitable<bool> EngineServer::sendAnnouncement(std::string target)
{
    const auto endpoint = parseEndpoint(target);
    if (!endpoint) {
        co_return false;
    }
    beast::tcp_stream stream(m_context);
    stream.expires_after(announceInterval);
    const auto [connectError] = co_await stream.async_connect(*endpoint, asio::as_tuple(asio::use_awaitable));
    if (connectError) {
        co_return false;
    }
    for (const char *path : {"/backend/v1/announce", "/backend/v1/report"}) {
        HttpRequest request(http::verb::post, path, 11);
        request.set(http::field::host, target);
        request.set(http::field::content_type, "application/json");
        request.body() = announcementBody();
        request.prepare_payload();
        const auto [writeError, written] = co_await http::async_write(stream, request, asio::as_tuple(asio::use_awaitable));
        beast::flat_buffer buffer;
        HttpResponse response;
        const auto [readError, read] = co_await http::async_read(stream, buffer, response, asio::as_tuple(asio::use_awaitable));
        static_cast<void>(written + read);
        if (writeError || readError) {
            co_return false;
        }
    }
    co_return true;
}

asio::awaitable<void> EngineServer::announce(std::string target)
{
    asio::steady_timer pause(m_context);
    for (;;) {
        co_await sendAnnouncement(target);
        pause.expires_after(announceInterval);
        co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

} // namespace mimosahollow::standin
