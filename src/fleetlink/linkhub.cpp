#include "linkhub.h"

#include "gateway/addresses.h"
#include "httpio/httplistener.h"
#include "link/lossdetection.h"
#include "mimosahollow/observability/decisionline.h"
#include "mimosahollow/observability/log.h"

#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <utility>

namespace mimosahollow::fleetlink {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

using Clock = std::chrono::steady_clock;

std::uint64_t pingStamp(TimePoint now)
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count());
}

void logLink(std::string_view event, const Peer &peer, std::string_view reason)
{
    observability::DecisionLine line(event);
    line.add("peer", peer.hello.name).add("address", peer.dialedAddress).add("reason", reason);
    observability::logDecision(line.text());
}

} // namespace

class LinkHub::Connection : public std::enable_shared_from_this<LinkHub::Connection>
{
public:
    Connection(LinkHub &hub, tcp::socket socket, PeerNumber number, std::string dialedAddress)
        : m_hub(&hub), m_socket(std::move(socket)), m_timer(hub.m_context)
    {
        peer.number = number;
        peer.dialedAddress = std::move(dialedAddress);
    }

    void begin()
    {
        boost::system::error_code error;
        m_socket.set_option(tcp::no_delay(true), error);
        if (error) {
            observability::logWarning("no-delay was refused: " + error.message());
        }
        link::detectLoss(m_socket, m_hub->m_options.silenceLimit);
        m_heard = Clock::now();
        sendMessage(m_hub->m_options.self);
        read();
        watch();
    }

    void sendMessage(const LinkMessage &message)
    {
        queue(link::MessageKind::Relay, std::make_shared<const control::Bytes>(encode(message)));
    }

    bool queue(link::MessageKind kind, const control::SharedBytes &bytes)
    {
        if (m_hub == nullptr) {
            return false;
        }
        if (m_queuedBytes + bytes->size() > m_hub->m_options.sendQueueBytes) {
            fail("send queue is full");
            return false;
        }
        m_queuedBytes += bytes->size();
        m_queue.push_back({link::makeFrameHeader(bytes->size(), kind), bytes});
        if (!m_writing) {
            write();
        }
        return true;
    }

    /** The hub is going away, or has dropped this connection. */
    void detach()
    {
        m_hub = nullptr;
        m_timer.cancel();
        boost::system::error_code ignored; // the socket is given up whatever close() says
        m_socket.close(ignored);
    }

    Peer peer;
    bool isReady = false;

private:
    struct Outgoing
    {
        link::FrameHeader header;
        control::SharedBytes payload;
    };

    void read()
    {
        const auto space = m_reader.space();
        m_socket.async_read_some(asio::buffer(space.data(), space.size()), [self = shared_from_this()](boost::system::error_code error, std::size_t count) {
            if (self->m_hub == nullptr) {
                return;
            }
            if (error) {
                self->fail(error.message());
                return;
            }
            self->m_reader.filled(count);
            self->m_heard = Clock::now();
            if (self->takeFrames()) {
                self->read();
            }
        });
    }

    /** Returns false when the connection has ended. */
    bool takeFrames()
    {
        for (;;) {
            link::FrameResult result = m_reader.next();
            if (std::holds_alternative<link::MoreNeeded>(result)) {
                return true;
            }
            if (std::holds_alternative<link::FrameError>(result)) {
                fail("the bytes received are not a frame");
                return false;
            }
            takeFrame(std::get<link::Frame>(result));
            if (m_hub == nullptr) {
                return false;
            }
        }
    }

    void takeFrame(const link::Frame &frame)
    {
        if (frame.kind == link::MessageKind::Consensus) {
            if (isReady) {
                m_hub->m_events.consensus(peer, frame.payload);
            }
            return;
        }
        auto decoded = decode(frame.payload);
        if (const auto *error = std::get_if<LinkCodecError>(&decoded)) {
            fail(error->message);
            return;
        }
        auto &message = std::get<LinkMessage>(decoded);
        if (auto *hello = std::get_if<Hello>(&message)) {
            peer.hello = std::move(*hello);
            isReady = true;
            m_hub->ready(*this);
        } else if (const auto *ping = std::get_if<Ping>(&message)) {
            if (!ping->isReply) {
                sendMessage(Ping{ping->stamp, true});
            }
        } else if (isReady) {
            m_hub->m_events.message(peer, std::move(message));
        }
    }

    void write()
    {
        m_writing = true;
        m_sending.clear();
        m_sending.swap(m_queue);
        std::vector<asio::const_buffer> buffers;
        buffers.reserve(m_sending.size() * 2);
        for (const Outgoing &outgoing : m_sending) {
            buffers.emplace_back(outgoing.header.data(), outgoing.header.size());
            buffers.emplace_back(outgoing.payload->data(), outgoing.payload->size());
        }
        asio::async_write(m_socket, buffers, [self = shared_from_this()](boost::system::error_code error, std::size_t) {
            self->m_writing = false;
            if (self->m_hub == nullptr) {
                return;
            }
            if (error) {
                self->fail(error.message());
                return;
            }
            for (const Outgoing &outgoing : self->m_sending) {
                self->m_queuedBytes -= outgoing.payload->size();
            }
            if (!self->m_queue.empty()) {
                self->write();
            }
        });
    }

    /** Sends a ping at each interval, from the side that opened the connection, and ends a connection that is silent. */
    void watch()
    {
        m_timer.expires_after(m_hub->m_options.pingInterval);
        m_timer.async_wait([self = shared_from_this()](boost::system::error_code error) {
            if (error || self->m_hub == nullptr) {
                return;
            }
            const TimePoint now = Clock::now();
            if (now - self->m_heard > self->m_hub->m_options.silenceLimit) {
                self->fail("silent for too long");
                return;
            }
            if (!self->peer.dialedAddress.empty()) {
                self->sendMessage(Ping{pingStamp(now), false});
            }
            if (self->m_hub != nullptr) {
                self->watch();
            }
        });
    }

    void fail(const std::string &reason)
    {
        if (m_hub != nullptr) {
            m_hub->gone(*this, reason);
        }
    }

    LinkHub *m_hub; // null once the connection has ended
    tcp::socket m_socket;
    asio::steady_timer m_timer;
    link::FrameReader m_reader;
    std::vector<Outgoing> m_queue;
    std::vector<Outgoing> m_sending;
    std::size_t m_queuedBytes = 0;
    TimePoint m_heard{};
    bool m_writing = false;
};

struct LinkHub::Target
{
    explicit Target(asio::io_context &context) : socket(context), timer(context)
    {
    }
    tcp::socket socket;
    asio::steady_timer timer;
    Duration delay{};
    PeerNumber connection = 0; // 0: not connected
    std::uint64_t attempt = 0;
};

LinkHub::LinkHub(asio::io_context &context, LinkHubOptions options, LinkHubEvents events)
    : m_context(context), m_options(std::move(options)), m_events(std::move(events)), m_acceptor(context)
{
}

LinkHub::~LinkHub()
{
    *m_alive = false;
    for (auto &[number, connection] : m_connections) {
        connection->detach();
    }
}

std::string LinkHub::start()
{
    if (m_options.listenAddress.empty()) {
        return {};
    }
    if (auto problem = httpio::listen(m_acceptor, m_options.listenAddress); !problem.empty()) {
        return problem;
    }
    accept();
    return {};
}

void LinkHub::accept()
{
    m_acceptor.async_accept([this, alive = m_alive](boost::system::error_code error, tcp::socket socket) {
        if (!*alive || error == asio::error::operation_aborted) {
            return;
        }
        if (!error) {
            const PeerNumber number = ++m_lastNumber;
            auto connection = std::make_shared<Connection>(*this, std::move(socket), number, std::string());
            m_connections.emplace(number, connection);
            connection->begin();
        } else {
            observability::logWarning("link listener: " + error.message());
        }
        accept();
    });
}

void LinkHub::dial(const std::string &address)
{
    if (address.empty() || address == m_options.self.address || m_targets.contains(address)) {
        return;
    }
    m_targets.emplace(address, std::make_unique<Target>(m_context));
    connect(address);
}

void LinkHub::connect(const std::string &address)
{
    const auto found = m_targets.find(address);
    const auto endpoint = parseEndpoint(address);
    if (found == m_targets.end()) {
        return;
    }
    if (!endpoint) {
        observability::logWarning("invalid link address " + address);
        return;
    }
    Target &target = *found->second;
    const std::uint64_t attempt = ++target.attempt;
    target.socket = tcp::socket(m_context);
    target.timer.expires_after(m_options.connectTimeout);
    target.timer.async_wait([this, address, attempt, alive = m_alive](boost::system::error_code error) {
        if (!*alive) {
            return;
        }
        const auto current = m_targets.find(address);
        if (!error && current != m_targets.end() && current->second->attempt == attempt && current->second->connection == 0) {
            boost::system::error_code ignored; // ends the attempt; its handler schedules the next one
            current->second->socket.close(ignored);
        }
    });
    target.socket.async_connect(*endpoint, [this, address, attempt, alive = m_alive](boost::system::error_code error) {
        if (!*alive) {
            return;
        }
        const auto current = m_targets.find(address);
        if (current == m_targets.end() || current->second->attempt != attempt) {
            return;
        }
        Target &connected = *current->second;
        connected.timer.cancel();
        if (error) {
            scheduleRedial(address);
            return;
        }
        const PeerNumber number = ++m_lastNumber;
        connected.connection = number;
        auto connection = std::make_shared<Connection>(*this, std::move(connected.socket), number, address);
        m_connections.emplace(number, connection);
        connection->begin();
    });
}

void LinkHub::scheduleRedial(const std::string &address)
{
    const auto found = m_targets.find(address);
    if (found == m_targets.end()) {
        return;
    }
    Target &target = *found->second;
    target.connection = 0;
    target.delay = target.delay == Duration{} ? m_options.redialDelay : std::min(target.delay * 2, m_options.maximumRedialDelay);
    target.timer.expires_after(target.delay);
    target.timer.async_wait([this, address, alive = m_alive](boost::system::error_code error) {
        if (!error && *alive) {
            connect(address);
        }
    });
}

void LinkHub::ready(Connection &connection)
{
    if (const auto target = m_targets.find(connection.peer.dialedAddress); target != m_targets.end()) {
        target->second->delay = {};
    }
    logLink("link-up", connection.peer, "");
    m_events.opened(connection.peer);
}

void LinkHub::gone(Connection &connection, const std::string &reason)
{
    const auto found = m_connections.find(connection.peer.number);
    if (found == m_connections.end()) {
        return;
    }
    const std::shared_ptr<Connection> kept = found->second;
    m_connections.erase(found);
    kept->detach();
    if (kept->isReady) {
        logLink("link-down", kept->peer, reason);
        m_events.closed(kept->peer);
    }
    if (!kept->peer.dialedAddress.empty()) {
        scheduleRedial(kept->peer.dialedAddress);
    }
}

bool LinkHub::send(PeerNumber peer, const LinkMessage &message)
{
    return sendEncoded(peer, link::MessageKind::Relay, std::make_shared<const control::Bytes>(encode(message)));
}

bool LinkHub::sendEncoded(PeerNumber peer, link::MessageKind kind, const control::SharedBytes &bytes)
{
    const auto found = m_connections.find(peer);
    return found != m_connections.end() && found->second->queue(kind, bytes);
}

std::vector<Peer> LinkHub::peers() const
{
    std::vector<Peer> peers;
    for (const auto &[number, connection] : m_connections) {
        if (connection->isReady) {
            peers.push_back(connection->peer);
        }
    }
    return peers;
}

std::size_t LinkHub::entryCount() const
{
    return static_cast<std::size_t>(std::count_if(m_connections.begin(), m_connections.end(), [](const auto &item) {
        return item.second->isReady && item.second->peer.hello.address.empty();
    }));
}

const Peer *LinkHub::findVoter(control::VoterId voter) const
{
    const auto found = std::find_if(m_connections.begin(), m_connections.end(), [voter](const auto &item) {
        const Peer &peer = item.second->peer;
        return item.second->isReady && peer.hello.voter == voter && !peer.dialedAddress.empty();
    });
    return found == m_connections.end() ? nullptr : &found->second->peer;
}

const Peer *LinkHub::findDialed(const std::string &address) const
{
    const auto target = m_targets.find(address);
    if (target == m_targets.end()) {
        return nullptr;
    }
    const auto connection = m_connections.find(target->second->connection);
    return connection != m_connections.end() && connection->second->isReady ? &connection->second->peer : nullptr;
}

} // namespace mimosahollow::fleetlink
