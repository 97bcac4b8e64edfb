#pragma once

#include "coordinator/coordinator.h"
#include "ingress/entry.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <filesystem>
#include <functional>
#include <list>
#include <set>
#include <unistd.h>

namespace mimosahollow::tests {

namespace asio = boost::asio;

using Clock = std::chrono::steady_clock;

inline constexpr Duration contactTime = seconds(3); // within which all entry instances must know what one of them has learned
inline constexpr Duration restartTime = milliseconds(150);
inline constexpr unsigned serverCount = 6; // inference engines
inline constexpr unsigned plainServerCount = 4;
inline constexpr std::string_view chunkEnd = "0\r\n\r\n";

inline std::string address(unsigned host, unsigned port)
{
    const auto process = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(process / 256 % 256) + "." + std::to_string(process % 256) + "." + std::to_string(host) + ":" + std::to_string(port);
}

inline asio::ip::tcp::endpoint endpointOf(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    return {asio::ip::make_address(text.substr(0, colon)), static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1)))};
}

inline std::variant<catalog::Catalog, catalog::CatalogProblem> decodeText(std::string_view)
{
    catalog::Catalog catalog;
    catalog.version = 1;
    catalog::CallRoute route;
    route.name = "stream";
    route.host = "host";
    route.pathPrefix = "/stream/";
    route.kind = catalog::CallKind::Stream;
    route.timeout = seconds(4);
    route.objective = seconds(1);
    route.split = {{"llm", 1}};
    route.maximumAttempts = 2;
    route.isOpen = true;
    route.isResumable = true;
    catalog.routes = {route};
    route.name = "plain";
    route.pathPrefix = "/plain/";
    route.split = {{"rest", 1}};
    catalog.routes.push_back(route);
    catalog::EngineSpec engine;
    engine.models = {{"base", 1000, 10, milliseconds(100)}};
    engine.memoryMb = 2000;
    engine.adapterSlots = 4;
    engine.storeLoadsPerSecond = 4;
    catalog.services = {{"llm", 0, 0, engine}, {"rest", 0, 0, std::nullopt}};
    return catalog;
}

inline std::string headerOf(const std::string &head, const std::string &name)
{
    const std::size_t at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos) {
        return {};
    }
    const std::size_t begin = at + name.size() + 4;
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

/** Reads requests from one connection and passes each head to @c arrived. */
struct Connection : std::enable_shared_from_this<Connection>
{
    explicit Connection(asio::ip::tcp::socket opened) : socket(std::move(opened)), buffer(8192)
    {
    }

    void read()
    {
        socket.async_read_some(asio::buffer(buffer), [self = shared_from_this()](boost::system::error_code error, std::size_t count) {
            self->received.append(self->buffer.data(), count);
            self->isClosed = static_cast<bool>(error);
            for (std::size_t end = self->received.find("\r\n\r\n"); self->arrived && end != std::string::npos; end = self->received.find("\r\n\r\n")) {
                const std::string head = self->received.substr(0, end + 4);
                self->received.erase(0, end + 4);
                self->arrived(head);
            }
            if (!error) {
                self->read();
            }
        });
    }

    void write(const std::string &bytes)
    {
        boost::system::error_code error;
        asio::write(socket, asio::buffer(bytes), error);
        isClosed = isClosed || error;
    }

    asio::ip::tcp::socket socket;
    std::vector<char> buffer;
    std::string received;
    std::function<void(const std::string &)> arrived;
    bool isClosed = false;
};

/**
 * Coordinator, two entry instances, inference engines and plain backend servers. A server ends, and comes back, when it begins to answer a prompt with the
 * fatal part or a request for the deadly path, and may name a limit of its calls.
 */
struct EngineFleet
{
    struct Server
    {
        explicit Server(asio::io_context &context) : acceptor(context), restart(context)
        {
        }
        std::string service;
        std::string address;
        std::uint64_t born = 0;
        std::uint64_t announcements = 1;
        asio::ip::tcp::acceptor acceptor;
        asio::steady_timer restart;
        std::list<std::shared_ptr<Connection>> connections;
        std::vector<TimePoint> arrivals; /**< Of calls. */
    };

    EngineFleet() : folder(std::filesystem::temp_directory_path() / ("mimosahollow-engines-" + std::to_string(::getpid())))
    {
        std::filesystem::remove_all(folder);
        std::filesystem::create_directories(folder);
        startCoordinator(true);
        fleetstate::FleetCommand catalog{fleetstate::CommandKind::PutCatalog, 1, {}, "catalog"};
        for (unsigned number = 0; number < 2; ++number) {
            startEntry(number);
        }
        commit(catalog);
        for (unsigned number = 0; number < serverCount + plainServerCount; ++number) {
            Server &server = servers.emplace_back(context);
            server.service = number < serverCount ? "llm" : "rest";
            server.address = address(20 + number, 42'420);
            start(server);
        }
        announceAll();
        REQUIRE(runUntil([this] {
            return isServing(0) && isServing(1);
        }));
    }

    ~EngineFleet()
    {
        context.stop();
        entries.clear();
        coordinator.reset();
        std::filesystem::remove_all(folder);
    }
    EngineFleet(const EngineFleet &) = delete;
    EngineFleet &operator=(const EngineFleet &) = delete;

    void startCoordinator(bool isFirst)
    {
        coordinator::CoordinatorSettings settings;
        settings.name = "core-1";
        settings.domain = "a";
        settings.linkAddress = address(1, 42'400);
        settings.seeds = {settings.linkAddress};
        settings.bootstrapsFleet = isFirst;
        settings.dataFolder = (folder / settings.name).string();
        coordinator::EngineOperations engines;
        engines.order = [](const placement::ModelOrder &, const std::function<void(placement::OrderOutcome)> &answered) {
            answered(placement::OrderOutcome::Rejected);
        };
        engines.report = [](const std::string &, const std::string &, const std::function<void(std::optional<placement::ModelReport>)> &answered) {
            answered(std::nullopt);
        };
        coordinator = std::make_unique<coordinator::Coordinator>(context, settings, decodeText, engines);
        REQUIRE(coordinator->start().empty());
    }

    void startEntry(unsigned number)
    {
        ingress::EntrySettings settings;
        settings.name = "entry-" + std::to_string(number);
        settings.domain = "a";
        settings.address = address(10 + number, 42'410);
        settings.seeds = {address(1, 42'400)};
        settings.headers.callId = "Call-Id";
        settings.headers.responseSignature = "Signature";
        settings.headers.notRun = "Not-Run";
        settings.headers.expectedServer = "Expected-Server";
        settings.headers.model = "Model";
        settings.headers.promptParts = "Parts";
        settings.headers.serverLimit = "Limit";
        settings.headers.lastEventId = "Last-Event-Id";
        auto entry = std::make_unique<ingress::Entry>(context, settings, decodeText);
        REQUIRE(entry->start().empty());
        entries.resize(std::max<std::size_t>(entries.size(), number + 1));
        entries[number] = std::move(entry);
    }

    void restartCoordinator()
    {
        coordinator.reset();
        startCoordinator(false);
        for (Server &server : servers) {
            coordinator->announce(recordOf(server));
        }
        REQUIRE(runUntil([this] {
            return isServing(0) && isServing(1);
        }));
    }

    void commit(const fleetstate::FleetCommand &command)
    {
        bool isCommitted = false;
        bool isRunning = false;
        REQUIRE(runUntil([&] {
            if (!isCommitted && !isRunning) {
                isRunning = true;
                asio::co_spawn(
                    context,
                    [this, &isCommitted, &isRunning, command]() -> asio::awaitable<void> {
                        const coordinator::ChangeResult result = co_await coordinator->change(command);
                        isCommitted = std::holds_alternative<coordinator::Committed>(result);
                        isRunning = false;
                    },
                    asio::detached);
            }
            return isCommitted && !isRunning;
        }));
    }

    void start(Server &server)
    {
        ++server.born;
        boost::system::error_code error;
        const auto endpoint = endpointOf(server.address);
        server.acceptor.open(endpoint.protocol(), error);
        server.acceptor.set_option(asio::socket_base::reuse_address(true), error);
        server.acceptor.bind(endpoint, error);
        server.acceptor.listen(64, error);
        REQUIRE_FALSE(error);
        accept(server);
        coordinator->announce(recordOf(server));
    }

    /** Repeats the announcements, since servers that are silent for seconds are taken for gone. */
    void announceAll()
    {
        for (Server &server : servers) {
            if (server.acceptor.is_open()) {
                ++server.announcements;
                coordinator->announce(recordOf(server));
            }
        }
        heartbeat.expires_after(seconds(1));
        heartbeat.async_wait([this](boost::system::error_code error) {
            if (!error) {
                announceAll();
            }
        });
    }

    static registry::ServerRecord recordOf(const Server &server)
    {
        const std::string id = server.address + "#" + std::to_string(server.born);
        return {id, server.service, server.address, "a", 8, registry::ServerState::Ready, server.born, server.announcements, 0, {{"base", "", 1}}};
    }

    void crash(Server &server)
    {
        ++crashes;
        lastCrash = Clock::now();
        boost::system::error_code ignored;
        server.acceptor.close(ignored);
        for (const auto &connection : server.connections) {
            connection->arrived = {};
            connection->socket.set_option(asio::socket_base::linger(true, 0), ignored);
            connection->socket.close(ignored);
        }
        server.connections.clear();
        server.restart.expires_after(restartTime);
        server.restart.async_wait([this, &server](boost::system::error_code error) {
            if (!error) {
                start(server);
            }
        });
    }

    void accept(Server &server)
    {
        server.acceptor.async_accept([this, &server](boost::system::error_code error, asio::ip::tcp::socket socket) {
            if (error) {
                return;
            }
            auto connection = std::make_shared<Connection>(std::move(socket));
            server.connections.push_back(connection);
            connection->arrived = [this, &server, raw = connection.get()](const std::string &head) {
                answer(server, *raw, head);
            };
            connection->read();
            accept(server);
        });
    }

    void answer(Server &server, Connection &connection, const std::string &head)
    {
        const std::string parts = headerOf(head, "Parts");
        server.arrivals.push_back(Clock::now());
        const std::string limit = namedLimit.empty() ? std::string() : "Limit: " + namedLimit + "\r\n";
        const std::string answerHead =
            "HTTP/1.1 200 OK\r\nSignature: s\r\nCall-Id: " + headerOf(head, "Call-Id") + "\r\n" + limit + "Transfer-Encoding: chunked\r\n\r\n";
        const std::string firstEvent = "f\r\nid: 1\ndata: x\n\n\r\n";
        if (!deadlyPath.empty() && head.find(" " + deadlyPath + " ") != std::string::npos) {
            ++deadlyArrivals;
            if (!endsBeforeHead) {
                connection.write(answerHead);
            }
            crash(server);
            return;
        }
        if (!fatalPart.empty() && parts.find(fatalPart) != std::string::npos) {
            ++fatalArrivals;
            connection.write(answerHead + "5\r\nid: 1\r\n"); // ends inside the first event
            if (resetsOnly) {
                boost::system::error_code ignored;
                connection.socket.set_option(asio::socket_base::linger(true, 0), ignored);
                connection.socket.close(ignored);
                return;
            }
            auto timer = std::make_shared<asio::steady_timer>(context, milliseconds(20));
            timer->async_wait([this, &server, timer, born = server.born](boost::system::error_code) {
                if (server.born == born && server.acceptor.is_open()) {
                    crash(server);
                }
            });
            return;
        }
        connection.write(answerHead + firstEvent + std::string(chunkEnd));
    }

    /** Sends one call without waiting for its answer. */
    std::shared_ptr<Connection> startCall(unsigned entry, const std::string &parts, const std::string &path = {})
    {
        asio::ip::tcp::socket socket(context);
        socket.connect(endpointOf(address(10 + entry, 42'410)));
        auto caller = std::make_shared<Connection>(std::move(socket));
        caller->read();
        ++calls;
        const std::string target = path.empty() ? "/stream/x" + std::to_string(calls) : path; // no two calls are alike
        caller->write("GET " + target + " HTTP/1.1\r\nHost: host\r\nModel: base\r\nCall-Id: c" + std::to_string(calls) + "\r\nParts: " + parts + "\r\n\r\n");
        return caller;
    }

    /** Sends one call and returns the answer when it ends. */
    std::string call(unsigned entry, const std::string &parts, const std::string &path = {})
    {
        const auto caller = startCall(entry, parts, path);
        runUntil(
            [&caller] {
                return caller->isClosed || caller->received.ends_with(chunkEnd) || caller->received.ends_with("}\n");
            },
            seconds(5));
        boost::system::error_code ignored;
        caller->socket.close(ignored);
        return caller->received;
    }

    static std::string unique(const std::string &shared)
    {
        static unsigned number = 0;
        return shared + ",own" + std::to_string(++number) + ":9";
    }

    static bool isServed(const std::string &answer)
    {
        return answer.starts_with("HTTP/1.1 200") && answer.ends_with(chunkEnd);
    }

    bool isServing(unsigned entry)
    {
        return entries[entry]->isReady() && entries[entry]->dispatchState().servers.size() >= serverCount + plainServerCount
               && isServed(call(entry, unique("tenant:5")));
    }

    /** Runs the event loop until @p isDone returns true; returns false after @p limit. */
    template<typename Condition>
    bool runUntil(Condition isDone, Duration limit = seconds(20))
    {
        const TimePoint end = Clock::now() + limit;
        while (!isDone()) {
            if (Clock::now() >= end) {
                return false;
            }
            context.run_one_for(milliseconds(10));
        }
        return true;
    }

    void runFor(Duration time)
    {
        runUntil(
            [] {
                return false;
            },
            time);
    }

    /** Sends calls with the fatal part until @p count servers have ended or @p limit calls were answered. */
    void sendFatalCalls(unsigned count, unsigned limit)
    {
        for (unsigned sent = 0; sent < limit && crashes < count; ++sent) {
            call(sent % 2, unique("tenant:5," + fatalPart + ":7"));
            runFor(restartTime);
        }
    }

    /** Sends requests for the deadly path until @p count servers have ended or @p limit requests were answered. */
    void sendDeadlyRequests(unsigned count, unsigned limit)
    {
        for (unsigned sent = 0; sent < limit && crashes < count; ++sent) {
            call(sent % 2, unique("tenant:5"), deadlyPath);
            runFor(restartTime);
        }
    }

    std::filesystem::path folder;
    asio::io_context context{1};
    asio::steady_timer heartbeat{context};
    std::unique_ptr<coordinator::Coordinator> coordinator;
    std::vector<std::unique_ptr<ingress::Entry>> entries;
    std::list<Server> servers;
    std::string namedLimit; /**< Calls per second from all callers, as the engines name it in each answer; empty: none. */
    std::string fatalPart;
    bool resetsOnly = false; /**< A call with the part loses its connection, and the server lives on. */
    std::string deadlyPath;
    bool endsBeforeHead = false; /**< The deadly path ends a server before the head of its answer. */
    unsigned crashes = 0;
    unsigned fatalArrivals = 0;
    unsigned deadlyArrivals = 0;
    TimePoint lastCrash{};
    unsigned calls = 0;
};

} // namespace mimosahollow::tests
