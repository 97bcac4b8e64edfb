#pragma once

#include "mimosahollow/link/linkevent.h"
#include "mimosahollow/link/linkoptions.h"
#include "mimosahollow/rings/boundedring.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace mimosahollow::link {

/**
 * TCP connections to other instances, on a thread of its own.
 *
 * All functions but start() and stop() may be called from any thread and do not block. Frames to one peer arrive in the
 * order of the send() calls of one thread, as long as the connection lasts. When the ring of received events is full, the
 * connections stop reading until it has room.
 */
class LinkNetwork
{
public:
    LinkNetwork(LinkOptions options, BoundedRing<LinkEvent> &events);
    ~LinkNetwork();
    LinkNetwork(const LinkNetwork &) = delete;
    LinkNetwork &operator=(const LinkNetwork &) = delete;

    /** Opens the listener and starts the thread. Returns an error message or nothing. */
    [[nodiscard]] std::string start();
    /** Closes all connections and ends the thread; start() cannot follow. */
    void stop();

    /**
     * Queues a frame. Returns false, and sends nothing, when the peer is not connected, its queue is full, or the payload is
     * larger than a frame.
     */
    [[nodiscard]] bool send(std::string_view peer, MessageKind kind, std::vector<std::uint8_t> payload);

    /** Keeps a connection to the instance at @p address, which is given as IP address and port. */
    void connect(const std::string &address);
    /** Ends the attempts to reach @p address; an existing connection stays. */
    void forget(const std::string &address);

    /** Reads the TLS files again; new connections use them. Returns an error message or nothing; the old ones stay on an error. */
    [[nodiscard]] std::string reloadTls();

    /** Port of the listener, for an address with port 0. */
    [[nodiscard]] std::uint16_t port() const noexcept;

private:
    class Engine;
    std::unique_ptr<Engine> m_engine;
};

} // namespace mimosahollow::link
