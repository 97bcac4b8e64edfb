#include "mimosahollow/admin/adminserver.h"

#include "adminrequests.h"
#include "gateway/addresses.h"
#include "gateway/answers.h"
#include "httpio/boundedread.h"
#include "mimosahollow/observability/log.h"
#include "statuspage.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <sodium.h>

#include <stdexcept>
#include <thread>

namespace mimosahollow::admin {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;
using asio::ip::tcp;
using gateway::HttpRequest;
using gateway::HttpResponse;

namespace {

constexpr Duration requestTimeout = seconds(10);
constexpr std::uint64_t maximumBodyBytes = 64ULL << 20U; // a bundle with 93,000 adapters has about 15 MB
// Longer than the freshness time, because an acknowledgement may wait for the lease of a cut-off failure domain.
constexpr Duration commandPatience = seconds(30);
constexpr std::uint32_t maximumHeadBytes = 16'384;
constexpr std::string_view keyRequired = "an operator's key is required: Authorization: Bearer KEY";
constexpr std::string_view apiPrefix = "/admin/v1/";
constexpr std::string_view bearerPrefix = "Bearer ";

std::string_view view(beast::string_view text)
{
    return {text.data(), text.size()};
}

control::CommandId randomCommandId()
{
    control::CommandId id;
    randombytes_buf(&id, sizeof id);
    return id;
}

HttpResponse errorResponse(const HttpRequest &request, unsigned status, std::string_view message)
{
    json::object body;
    body["error"] = message;
    return gateway::makeResponse(request, status, "application/json", json::serialize(body) + "\n");
}

unsigned statusOf(const CommandReport &report)
{
    if (report.end == CommandEnd::NotSent) {
        return 503;
    }
    if (report.end == CommandEnd::Unknown) {
        return 504;
    }
    switch (report.result.outcome) {
    case control::CommandOutcome::Accepted:
        return 200;
    case control::CommandOutcome::VersionConflict:
    case control::CommandOutcome::IdReused:
        return 409;
    case control::CommandOutcome::NotFound:
        return 404;
    default:
        return 400;
    }
}

std::string reportBody(const control::CommandId &id, const CommandReport &report)
{
    json::object body;
    body["command_id"] = toText(id);
    switch (report.end) {
    case CommandEnd::NotSent:
        body["outcome"] = "not-run";
        body["message"] = "no leader of the replicated log can be reached; the command has no effect";
        break;
    case CommandEnd::Unknown:
        body["outcome"] = "unknown";
        body["message"] = "no answer in time; send the same command id again to learn whether it took effect";
        break;
    case CommandEnd::Done:
        body["outcome"] = toString(report.result.outcome);
        body["message"] = report.result.message;
        body["number"] = report.result.number;
        body["in_force_everywhere"] = report.inForceEverywhere;
        break;
    }
    return json::serialize(body) + "\n";
}

} // namespace

/** State of the admin thread. */
class AdminLoop
{
public:
    AdminLoop(std::string address, std::vector<OperatorRecord> operators, AdminPorts ports)
        : m_address(std::move(address)), m_operators(std::move(operators)), m_ports(std::move(ports)), m_context(1), m_acceptor(m_context)
    {
    }

    ~AdminLoop()
    {
        stop();
    }
    AdminLoop(const AdminLoop &) = delete;
    AdminLoop &operator=(const AdminLoop &) = delete;

    void start()
    {
        const auto endpoint = parseEndpoint(m_address);
        if (!endpoint) {
            throw std::runtime_error("not an address: " + m_address);
        }
        if (const auto error = openListener(m_acceptor, *endpoint); error) {
            throw std::runtime_error("cannot listen on " + m_address + ": " + error.message());
        }
        asio::co_spawn(m_context, accept(), asio::detached);
        m_thread = std::thread([this] {
            m_context.run();
        });
    }

    void stop()
    {
        m_context.stop();
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

private:
    template<typename Result>
    struct Waiter
    {
        explicit Waiter(asio::io_context &context) : signal(context, TimePoint::max())
        {
        }
        asio::steady_timer signal;
        std::optional<Result> result;
    };

    /** Starts something that ends on another thread, and waits for its result here. Empty when it could not be started. */
    template<typename Result, typename Begin>
    asio::awaitable<std::optional<Result>> waitFor(Begin begin)
    {
        auto waiter = std::make_shared<Waiter<Result>>(m_context);
        const bool started = begin([this, waiter](Result result) {
            asio::post(m_context, [waiter, result = std::move(result)]() mutable {
                waiter->result = std::move(result);
                waiter->signal.cancel();
            });
        });
        if (started) {
            co_await waiter->signal.async_wait(asio::as_tuple(asio::use_awaitable));
        }
        co_return std::move(waiter->result);
    }

    asio::awaitable<void> accept()
    {
        for (;;) {
            auto [error, socket] = co_await m_acceptor.async_accept(asio::as_tuple(asio::use_awaitable));
            if (error) {
                co_return;
            }
            asio::co_spawn(m_context, serve(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> serve(tcp::socket socket)
    {
        beast::tcp_stream stream(std::move(socket));
        beast::flat_buffer buffer;
        auto state = gateway::ConnectionState::KeepAlive;
        while (state == gateway::ConnectionState::KeepAlive) {
            httpio::RequestParser parser;
            parser.header_limit(maximumHeadBytes);
            parser.body_limit(maximumBodyBytes);
            buffer.max_size(httpio::readAheadLimit(maximumHeadBytes));
            const auto hold = [](std::size_t) {
                return true; // only operators send bodies
            };
            stream.expires_after(requestTimeout);
            auto error = co_await httpio::awaitRequest(stream, buffer);
            if (!error) {
                error = co_await httpio::readHead(stream, buffer, parser, hold);
            }
            if (!error && !parser.is_done() && caller(parser.get()) == nullptr) {
                HttpResponse refusal = errorResponse(parser.get(), 401, keyRequired);
                refusal.keep_alive(false); // the body is not read
                co_await gateway::sendResponse(stream, std::move(refusal));
                co_return;
            }
            if (!error) {
                error = co_await httpio::readBody(stream, buffer, parser, hold);
            }
            if (error) {
                co_return;
            }
            const HttpRequest request = parser.release();
            stream.expires_never();
            HttpResponse response = co_await handle(request);
            state = co_await gateway::sendResponse(stream, std::move(response));
        }
    }

    const OperatorRecord *caller(const HttpRequest &request) const
    {
        const std::string_view header = view(request[http::field::authorization]);
        if (!header.starts_with(bearerPrefix)) {
            return nullptr;
        }
        return findOperator(m_operators, m_ports.hashKey(header.substr(bearerPrefix.size())));
    }

    asio::awaitable<HttpResponse> handle(const HttpRequest &request)
    {
        const std::string_view path = view(request.target());
        if (request.method() == http::verb::get && path == "/") {
            // The page itself holds no data; its script asks for the operator's key.
            co_return gateway::makeResponse(request, 200, "text/html; charset=utf-8", std::string(statusPage()));
        }
        if (!path.starts_with(apiPrefix)) {
            co_return errorResponse(request, 404, "unknown path");
        }
        const OperatorRecord *who = caller(request);
        if (who == nullptr) {
            co_return errorResponse(request, 401, keyRequired);
        }
        const std::string_view rest = path.substr(apiPrefix.size());
        if (request.method() == http::verb::get) {
            co_return co_await handleRead(request, rest);
        }
        if (request.method() != http::verb::post) {
            co_return errorResponse(request, 405, "GET or POST is required");
        }
        if (rest == "bundles/check") {
            co_return check(request);
        }
        if (!who->identity.author && !who->identity.approver) {
            co_return errorResponse(request, 403, "the role reader may change nothing");
        }
        co_return co_await handleChange(request, rest, who->identity.name);
    }

    asio::awaitable<HttpResponse> handleRead(const HttpRequest &request, std::string_view path)
    {
        if (path == "status") {
            co_return gateway::makeResponse(request, 200, "application/json", m_ports.statusJson());
        }
        if (path == "audit") {
            const auto audit = co_await waitFor<std::string>([this](auto done) {
                return m_ports.auditJson(std::move(done));
            });
            co_return audit ? gateway::makeResponse(request, 200, "application/json", *audit) : errorResponse(request, 503, "busy");
        }
        co_return errorResponse(request, 404, "unknown path");
    }

    HttpResponse check(const HttpRequest &request)
    {
        const auto inForce = m_ports.configuration();
        if (!inForce) {
            return errorResponse(request, 503, "this instance has no configuration yet");
        }
        const auto result = checkBundle(request.body(), m_operators, *inForce);
        if (const auto *error = std::get_if<RequestError>(&result)) {
            return errorResponse(request, error->status, error->message);
        }
        return gateway::makeResponse(request, 200, "application/json", std::get<std::string>(result) + "\n");
    }

    asio::awaitable<HttpResponse> handleChange(const HttpRequest &request, std::string_view path, std::string sender)
    {
        auto parsed = parseAdminRequest(path, request.body(), m_operators);
        if (const auto *error = std::get_if<RequestError>(&parsed)) {
            co_return errorResponse(request, error->status, error->message);
        }
        control::Command command;
        const std::string_view idText = view(request["X-Command-Id"]);
        const auto givenId = parseCommandId(idText);
        if (!idText.empty() && !givenId) {
            co_return errorResponse(request, 400, "X-Command-Id must be 32 hexadecimal digits");
        }
        command.id = givenId.value_or(randomCommandId());
        command.sender = std::move(sender);
        command.body = std::get<control::CommandBody>(std::move(parsed));
        const control::CommandId id = command.id;
        observability::logInfo("operator " + command.sender + " asks for " + std::string(path) + ", command " + toText(id));
        const auto report = co_await waitFor<CommandReport>([this, &command](auto done) {
            return m_ports.submit(std::move(command), commandPatience, std::move(done));
        });
        if (!report) {
            co_return errorResponse(request, 503, "busy; the command has no effect");
        }
        co_return gateway::makeResponse(request, statusOf(*report), "application/json", reportBody(id, *report));
    }

    std::string m_address;
    std::vector<OperatorRecord> m_operators;
    AdminPorts m_ports;
    asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::thread m_thread;
};

AdminServer::AdminServer(std::string address, std::vector<OperatorRecord> operators, AdminPorts ports)
    : m_loop(std::make_unique<AdminLoop>(std::move(address), std::move(operators), std::move(ports)))
{
}

AdminServer::~AdminServer() = default;

void AdminServer::start()
{
    m_loop->start();
}

void AdminServer::stop()
{
    m_loop->stop();
}

} // namespace mimosahollow::admin
