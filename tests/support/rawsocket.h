#pragma once

#include "waitfor.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

namespace mimosahollow::tests {

/** "127.0.0.1:port" that nothing listens on at present. */
inline std::string freeAddress()
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof address;
    const bool bound = ::bind(descriptor, reinterpret_cast<sockaddr *>(&address), length) == 0;
    const bool known = ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &length) == 0;
    ::close(descriptor);
    if (!bound || !known) {
        throw std::runtime_error("no free loopback port");
    }
    return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

/** A blocking loopback connection whose reads are bounded in time. */
class RawSocket
{
public:
    explicit RawSocket(const std::string &address) : m_descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in target{};
        target.sin_family = AF_INET;
        target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        target.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1))));
        m_connected = ::connect(m_descriptor, reinterpret_cast<sockaddr *>(&target), sizeof target) == 0;
    }
    ~RawSocket()
    {
        close();
    }
    RawSocket(RawSocket &&other) noexcept : m_descriptor(std::exchange(other.m_descriptor, -1)), m_connected(other.m_connected)
    {
    }
    RawSocket(const RawSocket &) = delete;
    RawSocket &operator=(const RawSocket &) = delete;
    RawSocket &operator=(RawSocket &&) = delete;

    [[nodiscard]] bool connected() const
    {
        return m_connected;
    }

    void close()
    {
        if (m_descriptor >= 0) {
            ::close(std::exchange(m_descriptor, -1));
        }
    }

    bool send(std::string_view text) const
    {
        while (!text.empty()) {
            const ssize_t sent = ::send(m_descriptor, text.data(), text.size(), MSG_NOSIGNAL);
            if (sent <= 0) {
                return false;
            }
            text.remove_prefix(static_cast<std::size_t>(sent));
        }
        return true;
    }

    enum class Read {
        Data,
        End, /**< Closed or reset by the other side. */
        TimedOut,
    };

    /** Appends what arrives next to @p out. */
    Read receive(std::string &out, std::chrono::milliseconds bound = waitBound) const
    {
        pollfd entry{m_descriptor, POLLIN, 0};
        if (::poll(&entry, 1, static_cast<int>(bound.count())) <= 0) {
            return Read::TimedOut;
        }
        char space[16384];
        const ssize_t length = ::recv(m_descriptor, space, sizeof space, 0);
        if (length <= 0) {
            return Read::End;
        }
        out.append(space, static_cast<std::size_t>(length));
        return Read::Data;
    }

private:
    int m_descriptor;
    bool m_connected = false;
};

} // namespace mimosahollow::tests
