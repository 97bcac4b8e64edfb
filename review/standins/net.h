// Blocking sockets, HTTP/1.1 messages and processes for the stand-ins of the review.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

inline const Clock::time_point startOfRun = Clock::now();

inline double now()
{
    return std::chrono::duration<double>(Clock::now() - startOfRun).count();
}

inline void sleepFor(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

/** The record of a run: one line for each event, with the seconds since the start. */
class Record
{
public:
    explicit Record(const std::string &path) : m_file(path, std::ios::trunc)
    {
    }
    __attribute__((format(printf, 2, 3))) void line(const char *format, ...)
    {
        char text[2000];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        const std::lock_guard lock(m_mutex);
        char stamp[32];
        std::snprintf(stamp, sizeof stamp, "%9.3f ", now());
        m_file << stamp << text << '\n' << std::flush;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

struct Address
{
    std::string ip;
    int port = 0;
    std::string text() const
    {
        return ip + ":" + std::to_string(port);
    }
};

inline Address parseAddress(const std::string &text)
{
    const auto colon = text.rfind(':');
    return {text.substr(0, colon), std::atoi(text.c_str() + colon + 1)};
}

inline sockaddr_in socketAddress(const Address &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<uint16_t>(address.port));
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

/** A TCP connection; closed with the last copy of its pointer. */
class Socket
{
public:
    explicit Socket(int descriptor) : fd(descriptor)
    {
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    Socket(const Socket &) = delete;
    ~Socket()
    {
        if (fd >= 0) {
            ::close(fd);
        }
    }
    bool write(const std::string &bytes)
    {
        size_t done = 0;
        while (done < bytes.size()) {
            const ssize_t count = ::send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            done += static_cast<size_t>(count);
        }
        return true;
    }
    /** Reads what is there into @c buffer, waiting at most @p seconds. False: the end, an error or the time is over. */
    bool read(double seconds)
    {
        pollfd waiting{fd, POLLIN, 0};
        if (::poll(&waiting, 1, static_cast<int>(seconds * 1000)) <= 0) {
            timedOut = true;
            return false;
        }
        char bytes[16384];
        const ssize_t count = ::recv(fd, bytes, sizeof bytes, 0);
        if (count <= 0) {
            closed = true;
            return false;
        }
        buffer.append(bytes, static_cast<size_t>(count));
        return true;
    }
    /** Closes with a reset instead of an orderly end. */
    void reset()
    {
        const linger now{1, 0};
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        ::close(fd);
        fd = -1;
    }
    /** Whether the peer has closed the connection. */
    bool peerClosed()
    {
        char byte = 0;
        const ssize_t count = ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    int fd;
    std::string buffer;
    bool closed = false;
    bool timedOut = false;
};
using SocketPointer = std::shared_ptr<Socket>;

inline SocketPointer dial(const Address &address, double seconds = 1)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto socket = std::make_shared<Socket>(fd);
    ::fcntl(fd, F_SETFL, O_NONBLOCK);
    const sockaddr_in target = socketAddress(address);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0) {
        pollfd waiting{fd, POLLOUT, 0};
        int error = 0;
        socklen_t length = sizeof error;
        if (errno != EINPROGRESS || ::poll(&waiting, 1, static_cast<int>(seconds * 1000)) <= 0 || ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length) != 0
            || error != 0) {
            return nullptr;
        }
    }
    ::fcntl(fd, F_SETFL, 0);
    return socket;
}

/** A listening socket; returns -1 when the address is in use. */
inline int listenOn(const Address &address)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in local = socketAddress(address);
    if (::bind(fd, reinterpret_cast<const sockaddr *>(&local), sizeof local) != 0 || ::listen(fd, 256) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}

struct Message
{
    std::string first; // request line or status line
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::string header(const std::string &name) const
    {
        for (const auto &[key, value] : headers) {
            if (::strcasecmp(key.c_str(), name.c_str()) == 0) {
                return value;
            }
        }
        return {};
    }
    std::string word(int index) const // of the first line
    {
        std::istringstream words(first);
        std::string word;
        for (int i = 0; i <= index; ++i) {
            word.clear();
            words >> word;
        }
        return word;
    }
    int status() const
    {
        return std::atoi(word(1).c_str());
    }
};

/** Reads a head. Returns nothing at the end of the connection, at the deadline, or if the bytes are no head. */
inline std::optional<Message> readHead(Socket &socket, double deadline)
{
    size_t end = 0;
    while ((end = socket.buffer.find("\r\n\r\n")) == std::string::npos) {
        if (now() >= deadline || !socket.read(deadline - now())) {
            return std::nullopt;
        }
    }
    Message message;
    std::istringstream lines(socket.buffer.substr(0, end));
    socket.buffer.erase(0, end + 4);
    std::string line;
    while (std::getline(lines, line)) {
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        if (message.first.empty()) {
            message.first = line;
            continue;
        }
        const auto colon = line.find(':');
        if (colon == std::string::npos) {
            return std::nullopt;
        }
        auto value = line.substr(colon + 1);
        value.erase(0, std::min(value.find_first_not_of(' '), value.size()));
        message.headers.emplace_back(line.substr(0, colon), value);
    }
    return message;
}

enum class BodyEnd { Complete, Unreadable, Closed, TimedOut };

/** Reads a body by its length or its chunks; a body with neither is empty in a request and lasts until the end in a response. */
inline BodyEnd readBody(Socket &socket, Message &message, double deadline, bool isResponse)
{
    const auto fill = [&] {
        return now() < deadline && socket.read(deadline - now());
    };
    const auto ended = [&] {
        return socket.closed ? BodyEnd::Closed : BodyEnd::TimedOut;
    };
    if (::strcasecmp(message.header("Transfer-Encoding").c_str(), "chunked") == 0) {
        for (;;) {
            size_t end = 0;
            while ((end = socket.buffer.find("\r\n")) == std::string::npos) {
                if (!fill()) {
                    return ended();
                }
            }
            const std::string line = socket.buffer.substr(0, end);
            char *rest = nullptr;
            const unsigned long size = std::strtoul(line.c_str(), &rest, 16);
            if (rest == line.c_str() || (*rest != '\0' && *rest != ';')) {
                return BodyEnd::Unreadable;
            }
            while (socket.buffer.size() < end + 2 + size + 2) {
                if (!fill()) {
                    return ended();
                }
            }
            message.body += socket.buffer.substr(end + 2, size);
            socket.buffer.erase(0, end + 2 + size + 2);
            if (size == 0) {
                return BodyEnd::Complete;
            }
        }
    }
    const std::string length = message.header("Content-Length");
    if (length.empty()) {
        while (isResponse && fill()) {}
        message.body += isResponse ? std::exchange(socket.buffer, {}) : std::string();
        return !isResponse || socket.closed ? BodyEnd::Complete : BodyEnd::TimedOut;
    }
    const auto size = static_cast<size_t>(std::atoll(length.c_str()));
    while (socket.buffer.size() < size) {
        if (!fill()) {
            return ended();
        }
    }
    message.body = socket.buffer.substr(0, size);
    socket.buffer.erase(0, size);
    return BodyEnd::Complete;
}

/** One call on a connection of its own. Returns nothing without a complete answer. */
inline std::optional<Message> call(const Address &address, const std::string &method, const std::string &path, const std::string &body, double seconds = 1)
{
    const SocketPointer socket = dial(address, seconds);
    if (!socket) {
        return std::nullopt;
    }
    const double deadline = now() + seconds;
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + address.text() + "\r\nConnection: close\r\n";
    if (!body.empty()) {
        text += "Content-Type: application/json\r\n";
    }
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    if (!socket->write(text)) {
        return std::nullopt;
    }
    auto answer = readHead(*socket, deadline);
    if (!answer || readBody(*socket, *answer, deadline, true) != BodyEnd::Complete) {
        return std::nullopt;
    }
    return answer;
}

/** The text or number at @p field of a JSON object, as far as the short bodies here need it. */
inline std::string jsonField(const std::string &text, const std::string &field)
{
    const std::string quoted = "\"" + field + "\"";
    size_t at = text.find(quoted);
    if (at == std::string::npos) {
        return {};
    }
    at = text.find_first_not_of(" :", at + quoted.size());
    if (at == std::string::npos) {
        return {};
    }
    if (text[at] == '"') {
        return text.substr(at + 1, text.find('"', at + 1) - at - 1);
    }
    return text.substr(at, text.find_first_of(",}] ", at) - at);
}

} // namespace review
