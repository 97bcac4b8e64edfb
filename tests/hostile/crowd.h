#pragma once

#include "support/waitfor.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace mimosahollow::tests {

/** Callers on 127.0.0.2 that send what they are told and read nothing. Their connections stay open until the destructor. */
class Crowd
{
public:
    Crowd(const std::string &address, std::size_t count) : m_port(static_cast<unsigned>(std::stoul(address.substr(address.rfind(':') + 1))))
    {
        for (std::size_t i = 0; i < count; ++i) {
            m_callers.push_back({openFrom("127.0.0.2", address), 0});
        }
    }
    ~Crowd()
    {
        for (const Caller &caller : m_callers) {
            close(caller);
        }
    }
    Crowd(const Crowd &) = delete;
    Crowd &operator=(const Crowd &) = delete;

    /** Each caller sends @p opening, then @p repeated again and again, @p bytesEach in all, until it is cut off or nobody takes more. */
    void send(std::string_view opening, std::string_view repeated, std::size_t bytesEach)
    {
        std::string block;
        while (!repeated.empty() && block.size() < 65'536) {
            block += repeated;
        }
        std::vector<pollfd> waiting;
        do {
            waiting.clear();
            for (Caller &caller : m_callers) {
                sendSome(caller, opening, block, bytesEach);
                if (caller.descriptor >= 0 && caller.sent < bytesEach) {
                    waiting.push_back({caller.descriptor, POLLOUT, 0});
                }
            }
        } while (!waiting.empty() && ::poll(waiting.data(), waiting.size(), quietMilliseconds) > 0);
        awaitRead();
    }

private:
    // Only ends a crowd whose bytes nobody takes any more; the checks hold whenever it ends.
    static constexpr int quietMilliseconds = 2000;

    struct Caller
    {
        int descriptor = -1;
        std::size_t sent = 0;
    };

    static int openFrom(const char *source, const std::string &address)
    {
        const std::size_t colon = address.rfind(':');
        const auto endpoint = [](const std::string &host, unsigned port) {
            sockaddr_in made{};
            made.sin_family = AF_INET;
            made.sin_port = htons(static_cast<std::uint16_t>(port));
            ::inet_pton(AF_INET, host.c_str(), &made.sin_addr);
            return made;
        };
        const sockaddr_in own = endpoint(source, 0);
        const sockaddr_in target = endpoint(address.substr(0, colon), static_cast<unsigned>(std::stoul(address.substr(colon + 1))));
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        // Answers that nobody reads then wait in the listener's process after a few of them, not after thousands.
        const int receiveBytes = 4096;
        ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBytes, sizeof receiveBytes);
        const bool connected = ::bind(descriptor, reinterpret_cast<const sockaddr *>(&own), sizeof own) == 0
                               && ::connect(descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof target) == 0;
        if (!connected) {
            throw std::runtime_error("a hostile caller cannot connect to " + address);
        }
        ::fcntl(descriptor, F_SETFL, O_NONBLOCK);
        return descriptor;
    }

    /** Bytes that the listener has received from all callers and not read. */
    [[nodiscard]] std::size_t unreadBytes() const
    {
        char port[8];
        std::snprintf(port, sizeof port, ":%04X", m_port);
        std::size_t bytes = 0;
        std::ifstream table("/proc/net/tcp");
        for (std::string line, number, local, remote, state, queues; std::getline(table, line);) {
            std::istringstream fields(line);
            if (fields >> number >> local >> remote >> state >> queues && local.ends_with(port) && state == "01") {
                bytes += std::stoul(queues.substr(queues.find(':') + 1), nullptr, 16);
            }
        }
        return bytes;
    }

    /** Waits until the listener has read what was sent, or reads no more; else its memory would be measured too early to show a fault. */
    void awaitRead() const
    {
        std::size_t before = 0;
        for (std::size_t bytes = unreadBytes(); bytes != before; bytes = unreadBytes()) {
            before = bytes;
            std::this_thread::sleep_for(std::chrono::milliseconds(quietMilliseconds / 4));
        }
    }

    static void close(const Caller &caller)
    {
        if (caller.descriptor >= 0) {
            ::close(caller.descriptor);
        }
    }

    static void sendSome(Caller &caller, std::string_view opening, std::string_view block, std::size_t bytesEach)
    {
        while (caller.descriptor >= 0 && caller.sent < bytesEach) {
            const std::string_view rest =
                caller.sent < opening.size() ? opening.substr(caller.sent) : block.substr((caller.sent - opening.size()) % block.size());
            const ssize_t sent = ::send(caller.descriptor, rest.data(), std::min(rest.size(), bytesEach - caller.sent), MSG_NOSIGNAL);
            if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
                return;
            }
            if (sent <= 0) {
                close(caller);
                caller.descriptor = -1;
                return;
            }
            caller.sent += static_cast<std::size_t>(sent);
        }
    }

    unsigned m_port;
    std::vector<Caller> m_callers;
};

/** Highest resident memory of process @p id so far; 0 once it has ended. */
inline std::size_t peakKilobytes(pid_t id)
{
    std::ifstream status("/proc/" + std::to_string(id) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmHWM:")) {
            return std::stoul(line.substr(6));
        }
    }
    return 0;
}

inline std::size_t openDescriptors(pid_t id)
{
    const std::filesystem::directory_iterator folder("/proc/" + std::to_string(id) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(folder), end(folder)));
}

/** Whether process @p id runs and has stayed below @p kilobytes. Sanitizers use several times the memory, so that only the first is checked there. */
inline bool staysBelow(pid_t id, std::size_t kilobytes)
{
    const std::size_t peak = peakKilobytes(id);
#if defined(__SANITIZE_THREAD__) || defined(__SANITIZE_ADDRESS__)
    return peak > 0 || kilobytes == 0;
#else
    return peak > 0 && peak < kilobytes;
#endif
}

/** What a hostile caller sends. */
struct HostileInput
{
    std::string name;
    std::string opening;
    std::string repeated;
    std::size_t bytesEach = std::size_t{8} << 20U;
};

/** Input without end, or that is held back in the middle, to a listener that takes POST requests to @p path with bodies of at most @p bodyBytes. */
inline std::vector<HostileInput> hostileInputs(const std::string &path, std::size_t bodyBytes)
{
    const std::string post = "POST " + path + " HTTP/1.1\r\nHost: test\r\n";
    const std::string chunked = post + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string held = post + "Content-Length: " + std::to_string(bodyBytes) + "\r\n\r\n";
    return {
        {"trailers without end", chunked + "1\r\nx\r\n0\r\n", "Trailer: x\r\n"},
        {"one trailer without end", chunked + "1\r\nx\r\n0\r\nTrailer: ", "x"},
        {"one chunk extension without end", chunked + "1;", "x"},
        {"chunks with extensions without end", chunked, "1;" + std::string(1000, 'x') + "\r\nx\r\n"},
        {"chunks of one byte", chunked, "1\r\nx\r\n"},
        {"headers without end", post, "Header: x\r\n"},
        {"one header without end", post + "Header: ", "x"},
        {"pipelined calls without end", "", "GET " + path + " HTTP/1.1\r\nHost: test\r\n\r\n"},
        {"bodies without their last byte", held, "x", held.size() + bodyBytes - 1},
    };
}

} // namespace mimosahollow::tests
