#include "backend.h"

#include "async.h"

#include "platform/names.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/json.hpp>

#include <chrono>
#include <iostream>

namespace mimosahollow::soak {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr double loadSeconds = 0.15; // of an adapter
constexpr double restartSeconds = 2.5; // after an end by a call
constexpr double silenceSeconds = 2.0; // asked for with each rejection
constexpr double workSeconds = 0.015; // of a plain call
constexpr double eventSeconds = 0.02;
constexpr double announceSeconds = 1.2;
constexpr const char *baseModel = "m0";

std::string fieldOf(const http::fields &fields, std::string_view name)
{
    return std::string(fields[{name.data(), name.size()}]);
}

} // namespace

struct Backend::Connection
{
    Connection(asio::ip::tcp::socket opened, unsigned number) : stream(std::move(opened)), incarnation(number)
    {
    }
    void reset()
    {
        boost::system::error_code ignored; // the other side may have closed it
        stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
        stream.socket().close(ignored);
    }
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    unsigned incarnation = 0;
    std::string lateCopy; // sent before the next answer
};

Backend::Backend(asio::io_context &context, const Fleet &fleet, Record &record, BackendOptions options, std::uint64_t seed)
    : m_context(context)
    , m_fleet(fleet)
    , m_record(record)
    , m_options(std::move(options))
    , m_random(static_cast<std::minstd_rand::result_type>(seed))
    , m_acceptor(context)
    , m_restart(context)
{
}

Backend::~Backend() = default;

bool Backend::isRunning() const
{
    return m_isRunning;
}

bool Backend::chance(double share)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < share;
}

void Backend::start()
{
    ++m_incarnation;
    m_id = m_options.name + "-" + std::to_string(m_incarnation);
    m_born = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
    m_isRunning = true;
    m_announcements = 0;
    m_orders = 0;
    m_running = 0;
    m_adapters.clear();
    m_fault = BackendFault::None;
    const auto endpoint = endpointOf(m_options.address);
    m_acceptor.open(endpoint.protocol());
    m_acceptor.set_option(asio::socket_base::reuse_address(true));
    m_acceptor.bind(endpoint);
    m_acceptor.listen(256);
    asio::co_spawn(m_context, accept(m_incarnation), asio::detached);
    asio::co_spawn(m_context, announceForever(m_incarnation), asio::detached);
}

void Backend::crash(double seconds)
{
    if (!m_isRunning) {
        return;
    }
    m_isRunning = false;
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    for (const auto &connection : m_connections) {
        connection->reset();
    }
    m_restart.expires_after(durationOf(seconds));
    m_restart.async_wait([this](boost::system::error_code error) {
        if (!error) {
            start();
        }
    });
}

void Backend::setFault(BackendFault fault, double seconds)
{
    m_fault = fault;
    m_faultUntil = now() + seconds;
    if (fault == BackendFault::Leaving) {
        m_restart.expires_after(durationOf(seconds));
        m_restart.async_wait([this, incarnation = m_incarnation](boost::system::error_code error) {
            if (!error && m_isRunning && m_incarnation == incarnation) {
                crash(0.5);
            }
        });
    }
}

void Backend::freeze(double seconds)
{
    m_frozenUntil = now() + seconds;
}

asio::awaitable<void> Backend::accept(unsigned incarnation)
{
    while (m_isRunning && m_incarnation == incarnation) {
        asio::ip::tcp::socket socket(m_context);
        const auto [error] = co_await m_acceptor.async_accept(socket, completionToken);
        if (error) {
            co_return;
        }
        socket.set_option(asio::ip::tcp::no_delay(true));
        auto connection = std::make_shared<Connection>(std::move(socket), incarnation);
        m_connections.insert(connection);
        asio::co_spawn(m_context, serve(connection), asio::detached);
    }
}

asio::awaitable<void> Backend::serve(std::shared_ptr<Connection> connection)
{
    bool isUsable = true;
    while (isUsable) {
        http::request_parser<http::string_body> parser;
        const auto [error, count] = co_await http::async_read(connection->stream, connection->buffer, parser, completionToken);
        if (error) {
            break;
        }
        while (now() < m_frozenUntil) {
            co_await sleepFor(m_context, 0.01);
        }
        const bool isCurrent = m_isRunning && connection->incarnation == m_incarnation;
        if (!isCurrent) {
            break;
        }
        const Request request = parser.release();
        isUsable = co_await answer(*connection, request);
    }
    connection->reset();
    m_connections.erase(connection);
}

asio::awaitable<bool> Backend::write(Connection &connection, std::string bytes)
{
    const auto [error, count] = co_await asio::async_write(connection.stream, asio::buffer(bytes), completionToken);
    co_return !error;
}

std::string Backend::models(bool isComing) const
{
    std::string names;
    for (const auto &[adapter, readyAt] : m_adapters) {
        if ((now() < readyAt) == isComing) {
            names += (names.empty() ? "\"" : ",\"") + (isComing ? std::string(baseModel) + "/" : std::string()) + adapter + "@1\"";
        }
    }
    return "[" + names + "]";
}

std::string Backend::report() const
{
    return R"({"stage":"prefill_decode","models":[{"name":"m0","version":1,"adapters":)" + models(false) + R"(}],"busy":false,"born":)" + std::to_string(m_born)
           + R"(,"sequence":)" + std::to_string(m_orders) + R"(,"waiting":0,"running":)" + std::to_string(m_running)
           + R"(,"kv-used":0,"kv-total":150000,"handles":0,"coming":)" + models(true) + "}";
}

std::string Backend::announcement()
{
    std::string text = R"({"service":")" + m_options.service + R"(","address":")" + m_options.address + R"(","zone":")" + m_options.domain
                       + R"(","version":"v1","slots":)" + std::to_string(m_options.slots) + R"(,"state":"ready","cold-remaining-ms":0,"born":)"
                       + std::to_string(m_born) + R"(,"sequence":)" + std::to_string(++m_announcements);
    if (m_options.isEngine) {
        text += R"(,"stage":"prefill_decode","models":[{"name":"m0","version":1,"adapters":)" + models(false) + "}]";
    }
    return text + "}";
}

asio::awaitable<bool> Backend::announce(std::string address)
{
    const auto response = co_await exchange(m_context, address, http::verb::put, platform::instancesPath + m_id, announcement(), 1);
    co_return response && response->result_int() / 100 == 2;
}

asio::awaitable<void> Backend::announceForever(unsigned incarnation)
{
    unsigned next = static_cast<unsigned>(m_random());
    while (m_isRunning && m_incarnation == incarnation) {
        bool isTaken = false;
        for (std::size_t tries = 0; tries < m_fleet.coordinatorCount() && !isTaken; ++tries) {
            isTaken = co_await announce(m_fleet.controlAddress(next % static_cast<unsigned>(m_fleet.coordinatorCount())));
            next += isTaken ? 0 : 1;
            if (!m_isRunning || m_incarnation != incarnation) {
                co_return;
            }
        }
        co_await sleepFor(m_context, isTaken ? announceSeconds : 0.1);
    }
}

bool Backend::holds(const std::string &model) const
{
    const std::size_t slash = model.find('/');
    if (model.substr(0, slash) != baseModel) {
        return false;
    }
    const auto adapter = slash == std::string::npos ? m_adapters.end() : m_adapters.find(model.substr(slash + 1));
    return slash == std::string::npos || (adapter != m_adapters.end() && now() >= adapter->second);
}

std::string Backend::handleOrder(const Request &request)
{
    boost::system::error_code error;
    const boost::json::value order = boost::json::parse(request.body(), error);
    if (error || !order.is_object() || !order.as_object().contains("operation")) {
        return "400 Bad Request";
    }
    const auto &fields = order.as_object();
    if (const auto *expected = fields.if_contains("expect"); expected != nullptr && expected->to_number<unsigned>() != m_orders) {
        return "409 Conflict";
    }
    const auto *adapter = fields.if_contains("adapter");
    const std::string name = adapter == nullptr ? std::string() : std::string(adapter->as_string());
    if (fields.at("operation") == "load") {
        if (name.empty() || m_adapters.contains(name)) {
            return "200 OK";
        }
        m_adapters[name] = now() + loadSeconds;
        ++m_orders;
        return "202 Accepted";
    }
    m_orders += static_cast<unsigned>(m_adapters.erase(name));
    return "200 OK";
}

std::string Backend::commonFields(const CallRecord &call) const
{
    const bool isLeaving = m_fault == BackendFault::Leaving;
    return "Attempt-Id: " + call.id + "\r\nInstance-Id: " + m_id + "\r\n" + (isLeaving ? "Server-Leaving: 1\r\n" : "");
}

asio::awaitable<bool> Backend::reject(Connection &connection, const CallRecord &call, std::string status, std::string fields)
{
    const std::string text = "HTTP/1.1 " + status + "\r\n" + commonFields(call) + "Not-Executed: 1\r\n" + fields + "Content-Length: 0\r\n\r\n";
    if (m_fault == BackendFault::Copies && chance(0.3)) {
        connection.lateCopy = text;
    }
    return write(connection, text);
}

asio::awaitable<bool> Backend::answer(Connection &connection, const Request &request)
{
    const std::string target(request.target());
    if (target == platform::reportPath || target == platform::orderPath) {
        const std::string status = target == platform::orderPath ? handleOrder(request) : "200 OK";
        const std::string body = target == platform::orderPath ? "{}" : report();
        co_return co_await write(
            connection, "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    if (now() >= m_faultUntil) {
        m_fault = BackendFault::None;
    }
    const auto found = m_record.byId.find(fieldOf(request, "Attempt-Id"));
    if (found == m_record.byId.end()) {
        ++m_record.unknownArrivals;
        co_return false;
    }
    CallRecord &call = *found->second;
    Arrival arrived;
    arrived.at = now();
    arrived.server = m_id;
    if (const std::string deadline = fieldOf(request, "Deadline-Ms"); !deadline.empty()) {
        arrived.deadline = std::stod(deadline);
    }
    call.arrivals.push_back(arrived);
    if (!connection.lateCopy.empty()) {
        const std::string copy = std::exchange(connection.lateCopy, {});
        const bool isWritten = co_await write(connection, copy);
        if (!isWritten) {
            co_return false;
        }
    }
    if (fieldOf(request, platform::expectInstanceHeader) != m_id) {
        co_return co_await reject(connection, call, "421 Misdirected Request", {});
    }
    if (m_fault == BackendFault::Silence) {
        m_record.silences.push_back({now(), now() + silenceSeconds, call.entry, m_id});
        co_return co_await reject(connection, call, "503 Service Unavailable", "Retry-After: " + std::to_string(silenceSeconds) + "\r\n");
    }
    if (m_running >= m_options.slots) {
        co_return co_await reject(connection, call, "503 Service Unavailable", {});
    }
    if (m_options.isEngine && !holds(fieldOf(request, "Model"))) {
        co_return co_await reject(connection, call, "421 Misdirected Request", {});
    }
    ++m_running;
    const unsigned incarnation = m_incarnation;
    const std::size_t arrival = call.arrivals.size() - 1;
    const bool isUsable = co_await runCall(connection, request, call, arrival);
    call.arrivals[arrival].ranUntil = now();
    call.arrivals[arrival].isBrokenOff = call.arrivals[arrival].isBrokenOff || !m_isRunning || m_incarnation != incarnation;
    if (m_incarnation == incarnation) {
        --m_running;
    }
    co_return isUsable;
}

asio::awaitable<bool> Backend::runCall(Connection &connection, const Request &request, CallRecord &call, std::size_t arrival)
{
    call.arrivals[arrival].hasRun = true;
    const bool isFatal = !call.deadlyName.empty() || (!call.fatalPart.empty() && m_options.isEngine);
    if (isFatal) {
        co_await sleepFor(m_context, 0.02);
        const bool endsBeforeHead = chance(0.5);
        if (!endsBeforeHead) {
            const std::string head = "HTTP/1.1 200 OK\r\n" + commonFields(call) + "Response-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n";
            const bool isWritten = co_await write(connection, head);
            co_await sleepFor(m_context, isWritten ? 0.02 : 0.001);
        }
        call.arrivals[arrival].isBrokenOff = true;
        crash(restartSeconds);
        co_return false;
    }
    if (m_fault == BackendFault::Errors && chance(0.4)) {
        co_return co_await write(connection,
                                 "HTTP/1.1 500 Internal Server Error\r\n" + commonFields(call) + "Response-Signature: s\r\nContent-Length: 0\r\n\r\n");
    }
    if (m_fault == BackendFault::ShortHeads && chance(0.3)) {
        call.arrivals[arrival].isBrokenOff = true;
        co_await write(connection, "HTTP/1.1 200 OK\r\n" + commonFields(call) + "Response-Signature: s\r\nContent-Le");
        co_return false;
    }
    if (m_fault == BackendFault::Resets && chance(0.3)) {
        call.arrivals[arrival].isBrokenOff = true;
        co_return false;
    }
    if (m_options.isEngine) {
        co_return co_await stream(connection, request, call, arrival);
    }
    co_return co_await runPlain(connection, call, arrival);
}

asio::awaitable<bool> Backend::runPlain(Connection &connection, CallRecord &call, std::size_t arrival)
{
    co_await sleepFor(m_context, workSeconds);
    const std::string body = "done " + call.id;
    const std::string text =
        "HTTP/1.1 200 OK\r\n" + commonFields(call) + "Response-Signature: s\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    if (m_fault == BackendFault::Copies && chance(0.3)) {
        connection.lateCopy = text;
    }
    call.arrivals[arrival].ranUntil = now();
    co_return co_await write(connection, text);
}

asio::awaitable<bool> Backend::stream(Connection &connection, const Request &request, CallRecord &call, std::size_t arrival)
{
    const unsigned incarnation = m_incarnation;
    const unsigned events = fieldOf(request, "Token-Count").ends_with(",900") ? 180 : 20; // a few streams last for seconds
    const std::string last = fieldOf(request, "Last-Event-Id");
    const bool isReset = m_fault == BackendFault::Resets && chance(0.3);
    const std::string head = "HTTP/1.1 200 OK\r\n" + commonFields(call)
                             + "Response-Signature: s\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    bool isWritten = co_await write(connection, head);
    for (unsigned event = last.empty() ? 1 : static_cast<unsigned>(std::stoul(last)) + 1; isWritten && event <= events; ++event) {
        co_await sleepFor(m_context, eventSeconds);
        if (!m_isRunning || m_incarnation != incarnation) {
            co_return false;
        }
        if (isReset && event > events / 2) {
            call.arrivals[arrival].isBrokenOff = true;
            co_return false;
        }
        call.arrivals[arrival].ranUntil = now();
        const std::string text = "id: " + std::to_string(event) + "\ndata: " + call.id + " of " + std::to_string(events) + "\n\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", text.size());
        isWritten = co_await write(connection, size + text + "\r\n");
    }
    if (!isWritten) {
        co_return false;
    }
    co_return co_await write(connection, "0\r\n\r\n");
}

} // namespace mimosahollow::soak
