#include "net.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <utility>

namespace review {

namespace {

const auto begin = std::chrono::steady_clock::now();

sockaddr_in addressOf(const std::string &text)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    const auto colon = text.rfind(':');
    ::inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
    address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
    return address;
}

std::string lower(std::string text)
{
    for (char &letter : text) {
        letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
    }
    return text;
}

} // namespace

double now()
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
}

void sleepFor(double seconds)
{
    if (seconds > 0) {
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
    }
}

std::string Message::header(const std::string &name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

int Message::status() const
{
    return start.starts_with("HTTP/") ? std::atoi(start.c_str() + 9) : 0;
}

std::string Message::method() const
{
    return start.substr(0, start.find(' '));
}

std::string Message::target() const
{
    const auto first = start.find(' ');
    return first == std::string::npos ? std::string() : start.substr(first + 1, start.rfind(' ') - first - 1);
}

Socket::Socket(Socket &&other) noexcept : m_descriptor(std::exchange(other.m_descriptor, -1)), m_buffer(std::move(other.m_buffer))
{
}

Socket &Socket::operator=(Socket &&other) noexcept
{
    if (this != &other) {
        close();
        m_descriptor = std::exchange(other.m_descriptor, -1);
        m_buffer = std::move(other.m_buffer);
    }
    return *this;
}

Socket::~Socket()
{
    close();
}

void Socket::setTimeout(double seconds) const
{
    timeval time{};
    time.tv_sec = static_cast<time_t>(seconds);
    time.tv_usec = static_cast<suseconds_t>((seconds - static_cast<double>(time.tv_sec)) * 1e6) + 1;
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof time);
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_SNDTIMEO, &time, sizeof time);
}

bool Socket::send(const std::string &bytes) const
{
    std::size_t done = 0;
    while (done < bytes.size()) {
        const ssize_t count = ::send(m_descriptor, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        done += static_cast<std::size_t>(count);
    }
    return true;
}

void Socket::close()
{
    if (m_descriptor >= 0) {
        ::close(std::exchange(m_descriptor, -1));
    }
}

void Socket::reset()
{
    if (m_descriptor >= 0) {
        const linger option{1, 0};
        ::setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &option, sizeof option);
        close();
    }
}

bool Socket::isClosedByPeer() const
{
    char byte = 0;
    const ssize_t count = ::recv(m_descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

bool Socket::fill()
{
    std::array<char, 65536> bytes{};
    const ssize_t count = ::recv(m_descriptor, bytes.data(), bytes.size(), 0);
    if (count <= 0) {
        return false;
    }
    m_buffer.append(bytes.data(), static_cast<std::size_t>(count));
    return true;
}

std::string Socket::readSome()
{
    if (m_buffer.empty() && !fill()) {
        return {};
    }
    return std::exchange(m_buffer, {});
}

std::optional<Message> Socket::readHead()
{
    std::size_t end = 0;
    while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!fill()) {
            return std::nullopt;
        }
    }
    Message message;
    std::size_t at = m_buffer.find("\r\n");
    message.start = m_buffer.substr(0, at);
    while (at < end) {
        const std::size_t from = at + 2;
        at = m_buffer.find("\r\n", from);
        const std::string line = m_buffer.substr(from, at - from);
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos) {
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            message.headers.emplace(lower(line.substr(0, colon)), value == std::string::npos ? std::string() : line.substr(value));
        }
    }
    m_buffer.erase(0, end + 4);
    return message;
}

std::optional<Message> Socket::readMessage(bool isResponse)
{
    auto message = readHead();
    if (!message) {
        return std::nullopt;
    }
    if (lower(message->header("transfer-encoding")) == "chunked") {
        for (;;) {
            std::size_t end = 0;
            while ((end = m_buffer.find("\r\n")) == std::string::npos) {
                if (!fill()) {
                    return std::nullopt;
                }
            }
            const std::size_t size = std::strtoul(m_buffer.c_str(), nullptr, 16);
            while (m_buffer.size() < end + 2 + size + 2) {
                if (!fill()) {
                    return std::nullopt;
                }
            }
            message->body.append(m_buffer, end + 2, size);
            m_buffer.erase(0, end + 2 + size + 2);
            if (size == 0) {
                return message;
            }
        }
    }
    const std::string length = message->header("content-length");
    if (length.empty()) {
        if (isResponse && message->status() != 204) {
            while (fill()) {}
            message->body = std::exchange(m_buffer, {});
        }
        return message;
    }
    const std::size_t size = std::strtoul(length.c_str(), nullptr, 10);
    while (m_buffer.size() < size) {
        if (!fill()) {
            return std::nullopt;
        }
    }
    message->body = m_buffer.substr(0, size);
    m_buffer.erase(0, size);
    return message;
}

Socket connectTo(const std::string &address, double seconds)
{
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    socket.setTimeout(seconds);
    const int on = 1;
    ::setsockopt(socket.descriptor(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const sockaddr_in target = addressOf(address);
    if (::connect(socket.descriptor(), reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0) {
        socket.close();
    }
    return socket;
}

std::optional<Message> call(const std::string &address, const std::string &method, const std::string &target, const std::string &body, double seconds)
{
    Socket socket = connectTo(address, seconds);
    if (!socket.isOpen()) {
        return std::nullopt;
    }
    const std::string head = method + " " + target + " HTTP/1.1\r\nHost: " + address
                             + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    return socket.send(head + body) ? socket.readMessage(true) : std::nullopt;
}

Listener::~Listener()
{
    stop();
}

bool Listener::start(const std::string &address, std::atomic<unsigned> &serving, std::function<void(Socket)> serve)
{
    m_descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in own = addressOf(address);
    if (::bind(m_descriptor, reinterpret_cast<const sockaddr *>(&own), sizeof own) != 0 || ::listen(m_descriptor, 512) != 0) {
        ::close(std::exchange(m_descriptor, -1));
        return false;
    }
    m_isStopping = false;
    m_thread = std::thread([this, &serving, serve = std::move(serve)] {
        while (!m_isStopping) {
            pollfd wait{m_descriptor, POLLIN, 0};
            if (::poll(&wait, 1, 50) <= 0) {
                continue;
            }
            const int accepted = ::accept4(m_descriptor, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted >= 0) {
                const int noDelay = 1;
                ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof noDelay);
                ++serving;
                std::thread(
                    [serve](Socket socket) {
                        serve(std::move(socket));
                    },
                    Socket(accepted))
                    .detach();
            }
        }
    });
    return true;
}

void Listener::stop()
{
    m_isStopping = true;
    if (m_thread.joinable()) {
        m_thread.join();
    }
    if (m_descriptor >= 0) {
        ::close(std::exchange(m_descriptor, -1));
    }
}

} // namespace review
