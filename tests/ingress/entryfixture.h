#pragma once

#include "ingress/entry.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <unistd.h>
#include <vector>

namespace mimosahollow::ingress {

/** Loopback address that differs between test processes, which run in parallel. */
inline std::string testAddress(unsigned host, unsigned port)
{
    const auto process = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(process / 256 % 256) + "." + std::to_string(process % 256) + "." + std::to_string(host) + ":" + std::to_string(port);
}

/** Connection whose bytes the test writes itself. */
class ScriptedConnection : public std::enable_shared_from_this<ScriptedConnection>
{
public:
    explicit ScriptedConnection(boost::asio::ip::tcp::socket opened) : socket(std::move(opened)), m_buffer(8192)
    {
    }

    void write(std::string bytes)
    {
        auto text = std::make_shared<std::string>(std::move(bytes));
        boost::asio::async_write(socket, boost::asio::buffer(*text), [self = shared_from_this(), text](boost::system::error_code error, std::size_t) {
            self->isBroken = self->isBroken || static_cast<bool>(error);
        });
    }

    /** Writes @p bytes again and again until the other side closes the connection. */
    void writeForever(const std::string &bytes)
    {
        writeForever(std::make_shared<const std::string>(bytes));
    }

    void writeForever(std::shared_ptr<const std::string> text)
    {
        boost::asio::async_write(socket, boost::asio::buffer(*text), [self = shared_from_this(), text](boost::system::error_code error, std::size_t count) {
            self->written += count;
            if (error) {
                self->isBroken = true;
            } else {
                self->writeForever(text);
            }
        });
    }

    void close()
    {
        boost::system::error_code ignored; // the other side may have closed it
        socket.close(ignored);
    }

    void reset()
    {
        boost::system::error_code ignored;
        socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
    }

    void read(std::function<void()> arrived)
    {
        m_arrived = std::move(arrived);
        readMore();
    }

    boost::asio::ip::tcp::socket socket;
    std::string received;
    std::size_t written = 0;
    bool isBroken = false; /**< The other side has closed the connection. */

private:
    void readMore()
    {
        socket.async_read_some(boost::asio::buffer(m_buffer), [self = shared_from_this()](boost::system::error_code error, std::size_t count) {
            self->received.append(self->m_buffer.data(), count);
            self->isBroken = self->isBroken || static_cast<bool>(error);
            if (self->m_arrived) {
                self->m_arrived();
            }
            if (!error) {
                self->readMore();
            }
        });
    }

    std::vector<char> m_buffer;
    std::function<void()> m_arrived;
};

using ConnectionPointer = std::shared_ptr<ScriptedConnection>;

/** An entry instance with real sockets, a leader and backend servers that the test scripts, on one event loop. */
class EntryFixture
{
public:
    /** Called for each request that a backend server reads, with the text of its head. */
    using Script = std::function<void(const ConnectionPointer &, const std::string &head)>;

    explicit EntryFixture(catalog::Catalog content = defaultCatalog(), Duration usageWindow = {}, hedging::HedgingOptions hedging = {})
        : m_acceptor(context), m_catalog(std::move(content))
    {
        fleetlink::LinkHubOptions options;
        options.self = {"core-1", leaderAddress(), "a", control::VoterId{1}};
        options.listenAddress = leaderAddress();
        m_leader = std::make_unique<fleetlink::LinkHub>(context,
                                                        options,
                                                        fleetlink::LinkHubEvents{[this](const fleetlink::Peer &peer) {
                                                                                     greet(peer);
                                                                                 },
                                                                                 [](const fleetlink::Peer &) {},
                                                                                 [this](const fleetlink::Peer &peer, fleetlink::LinkMessage message) {
                                                                                     answer(peer, message);
                                                                                 },
                                                                                 [](const fleetlink::Peer &, std::span<const std::uint8_t>) {}});
        REQUIRE(m_leader->start().empty());
        boost::system::error_code error;
        const auto endpoint = endpointOf(serverAddress());
        m_acceptor.open(endpoint.protocol(), error);
        m_acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
        m_acceptor.bind(endpoint, error);
        m_acceptor.listen(16, error);
        REQUIRE_FALSE(error);
        accept();
        EntrySettings settings;
        settings.name = "entry-1";
        settings.domain = "a";
        settings.address = entryAddress();
        settings.seeds = {leaderAddress()};
        settings.headers.callId = "Call-Id";
        settings.headers.deadline = "Deadline-Ms";
        settings.headers.responseSignature = "Signature";
        settings.headers.serverLoad = "Load";
        settings.headers.serverLeaving = "Leaving";
        settings.headers.notRun = "Not-Run";
        settings.headers.expectedServer = "Expected-Server";
        settings.headers.organisation = "Organisation";
        settings.headers.lastEventId = "Last-Event-Id";
        settings.headers.tokenCounts = "Tokens";
        settings.headers.model = "Model";
        settings.lameDuck = milliseconds(150);
        settings.usageWindow = usageWindow;
        settings.hedging = hedging;
        entry = std::make_unique<Entry>(context, settings, [this](std::string_view) {
            return std::variant<catalog::Catalog, catalog::CatalogProblem>(m_catalog);
        });
        REQUIRE(entry->start().empty());
        REQUIRE(runUntil([this] {
            return entry->isReady() && !entry->dispatchState().servers.empty();
        }));
    }

    ~EntryFixture()
    {
        for (const ConnectionPointer &connection : connections) {
            connection->close();
        }
        context.stop();
    }
    EntryFixture(const EntryFixture &) = delete;
    EntryFixture &operator=(const EntryFixture &) = delete;

    /** Routes /once/, /twice/ and /stream/ of host "host" for one backend server, and /resume/ for streams that may be resumed. */
    static catalog::Catalog defaultCatalog()
    {
        catalog::Catalog catalog;
        catalog.version = 1;
        const auto route = [](const std::string &name, catalog::CallKind kind, bool isResumable) {
            catalog::CallRoute made;
            made.name = name;
            made.host = "host";
            made.pathPrefix = "/" + name + "/";
            made.kind = kind;
            made.timeout = milliseconds(1500);
            made.objective = milliseconds(500);
            made.split = {{"rest", 1}};
            made.maximumAttempts = 2;
            made.isOpen = true;
            made.isResumable = isResumable;
            return made;
        };
        catalog.routes = {route("once", catalog::CallKind::NonIdempotent, false),
                          route("twice", catalog::CallKind::Idempotent, false),
                          route("stream", catalog::CallKind::Stream, false),
                          route("resume", catalog::CallKind::Stream, true)};
        catalog.services = {{"rest", 0, 0, std::nullopt}};
        return catalog;
    }

    /** Runs the event loop until @p isDone returns true; returns false after @p limit. */
    template<typename Condition>
    bool runUntil(Condition isDone, Duration limit = seconds(10))
    {
        const TimePoint end = std::chrono::steady_clock::now() + limit;
        while (!isDone()) {
            if (std::chrono::steady_clock::now() >= end) {
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

    ConnectionPointer connect()
    {
        boost::asio::ip::tcp::socket socket(context);
        socket.connect(endpointOf(entryAddress()));
        auto caller = std::make_shared<ScriptedConnection>(std::move(socket));
        caller->read({});
        return caller;
    }

    static std::string request(const std::string &path, const std::string &id, const std::string &more = {})
    {
        return "GET " + path + " HTTP/1.1\r\nHost: host\r\n" + (id.empty() ? std::string() : "Call-Id: " + id + "\r\n") + more + "\r\n";
    }

    static std::string response(const std::string &id, const std::string &body, const std::string &more = {})
    {
        return "HTTP/1.1 200 OK\r\nSignature: s\r\n" + (id.empty() ? std::string() : "Call-Id: " + id + "\r\n") + more
               + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    /** Sends one call and returns all that the caller gets until the response ends, the connection closes or @p limit passes. */
    std::string call(const ConnectionPointer &caller, const std::string &text, std::string_view end, Duration limit = seconds(5))
    {
        caller->received.clear();
        caller->write(text);
        runUntil(
            [&caller, end] {
                return caller->isBroken || caller->received.ends_with(end);
            },
            limit);
        return caller->received;
    }

    /** Changes the state of the backend server as the leader announces it. */
    void announce(registry::ServerState state, std::uint64_t sequence)
    {
        for (const fleetlink::Peer &peer : m_leader->peers()) {
            m_leader->send(peer.number, fleetlink::ServerUpdate{{serverRecord(state, sequence)}, true});
        }
    }

    /** Announces another backend server, at the address of the first one. */
    void announceServer(const std::string &id)
    {
        registry::ServerRecord record = serverRecord(registry::ServerState::Ready, 1);
        record.id = id;
        for (const fleetlink::Peer &peer : m_leader->peers()) {
            m_leader->send(peer.number, fleetlink::ServerUpdate{{record}, true});
        }
    }

    static std::string serverAddress()
    {
        return testAddress(2, 42'301);
    }

    boost::asio::io_context context{1};
    Script script;
    std::list<ConnectionPointer> connections; // of the backend server, newest last
    std::unique_ptr<Entry> entry;
    double grantableTokens = 1e9; /**< Tokens that the leader still grants. */
    std::vector<fleetlink::ServerPaceSample> paces; /**< Reported to the leader. */
    bool leaderAnswers = true;
    std::vector<fleetlink::EntryReport> usageReports; /**< With an incarnation or counts, also those that the leader doesn't answer. */
    std::int64_t fleetMilliseconds = 0; /**< Told in answers of the leader. */
    std::uint64_t fixedWindow = 0; /**< Told in answers of the leader. */
    std::vector<registry::HeldModel> held; /**< By the backend server, from its next announcement on. */

private:
    static std::string leaderAddress()
    {
        return testAddress(1, 42'300);
    }

    static std::string entryAddress()
    {
        return testAddress(3, 42'302);
    }

    static boost::asio::ip::tcp::endpoint endpointOf(const std::string &address)
    {
        const std::size_t colon = address.rfind(':');
        return {boost::asio::ip::make_address(address.substr(0, colon)), static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))};
    }

    [[nodiscard]] registry::ServerRecord serverRecord(registry::ServerState state, std::uint64_t sequence) const
    {
        return {"s1", "rest", serverAddress(), "a", 8, state, 1, sequence, 0, held};
    }

    void greet(const fleetlink::Peer &peer)
    {
        m_leader->send(peer.number, fleetlink::Coordinators{{leaderAddress()}, leaderAddress()});
        m_leader->send(peer.number, fleetlink::ServerUpdate{{serverRecord(registry::ServerState::Ready, 1)}, true});
        fleetstate::FleetState state;
        state.index = 1;
        state.catalogVersion = 1;
        state.catalogText = std::make_shared<const std::string>("catalog");
        m_leader->send(peer.number, state);
    }

    void answer(const fleetlink::Peer &peer, const fleetlink::LinkMessage &message)
    {
        const auto *report = std::get_if<fleetlink::EntryReport>(&message);
        if (report != nullptr && (report->incarnation != 0 || report->wallMilliseconds != 0 || !report->usage.empty())) {
            usageReports.push_back(*report);
        }
        if (report != nullptr && leaderAnswers) {
            paces.insert(paces.end(), report->paces.begin(), report->paces.end());
            fleetlink::LeaderReply reply{report->stamp, 1, 1, {}, false, true, 300};
            for (const fleetlink::NamedNumber &returned : report->returned) {
                grantableTokens += returned.value;
            }
            for (const fleetlink::NamedNumber &wish : report->tokenWishes) {
                const double granted = std::min(wish.value, grantableTokens);
                grantableTokens -= granted;
                reply.tokens.push_back({wish.name, granted});
            }
            reply.fleetMilliseconds = fleetMilliseconds;
            reply.fixedWindow = fixedWindow;
            m_leader->send(peer.number, reply);
        }
    }

    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code error, boost::asio::ip::tcp::socket socket) {
            if (error) {
                return;
            }
            auto connection = std::make_shared<ScriptedConnection>(std::move(socket));
            connections.push_back(connection);
            connection->read([this, connection = connection.get()] {
                for (std::size_t end = connection->received.find("\r\n\r\n"); end != std::string::npos; end = connection->received.find("\r\n\r\n")) {
                    const std::string head = connection->received.substr(0, end + 4);
                    connection->received.erase(0, end + 4);
                    if (script) {
                        script(connection->shared_from_this(), head);
                    }
                }
            });
            accept();
        });
    }

    boost::asio::ip::tcp::acceptor m_acceptor;
    catalog::Catalog m_catalog;
    std::unique_ptr<fleetlink::LinkHub> m_leader;
};

} // namespace mimosahollow::ingress
