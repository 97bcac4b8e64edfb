#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <thread>

/** Blocking HTTP/1.1 over loopback sockets for the stand-ins of the review. */
namespace review {

double now(); /**< Seconds since the start of the process. */
void sleepFor(double seconds);

using Headers = std::multimap<std::string, std::string>; /**< Names in lower case. */

struct Message
{
    std::string start; /**< Request line or status line. */
    Headers headers;
    std::string body;
    [[nodiscard]] std::string header(const std::string &name) const;
    [[nodiscard]] int status() const; /**< Of a response; 0 if there is none. */
    [[nodiscard]] std::string method() const;
    [[nodiscard]] std::string target() const;
};

/** A connection; closed at the end of its life. */
class Socket
{
public:
    explicit Socket(int descriptor = -1) : m_descriptor(descriptor)
    {
    }
    Socket(Socket &&other) noexcept;
    Socket &operator=(Socket &&other) noexcept;
    Socket(const Socket &) = delete;
    Socket &operator=(const Socket &) = delete;
    ~Socket();

    [[nodiscard]] bool isOpen() const
    {
        return m_descriptor >= 0;
    }
    [[nodiscard]] int descriptor() const
    {
        return m_descriptor;
    }
    void setTimeout(double seconds) const;
    bool send(const std::string &bytes) const;
    void close();
    void reset(); /**< Closes with a reset. */
    /** Whether the peer has closed the connection. */
    [[nodiscard]] bool isClosedByPeer() const;
    /** Reads one message; nothing at the end of the connection or when the time has passed. */
    std::optional<Message> readMessage(bool isResponse);
    /** Reads a head only. */
    std::optional<Message> readHead();
    /** Reads what has arrived, at least one byte. */
    std::string readSome();

private:
    int m_descriptor;
    std::string m_buffer;
    bool fill();
};

Socket connectTo(const std::string &address, double seconds);

/** Sends a request on a new connection and reads the response. */
std::optional<Message> call(const std::string &address, const std::string &method, const std::string &target, const std::string &body, double seconds);

/** Accepts connections and runs a function on a thread for each. */
class Listener
{
public:
    Listener() = default;
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;
    ~Listener();
    /** Returns false if the address cannot be used. @p serving counts the threads that have begun; @p serve counts down. */
    bool start(const std::string &address, std::atomic<unsigned> &serving, std::function<void(Socket)> serve);
    void stop();

private:
    int m_descriptor = -1;
    std::thread m_thread;
    std::atomic<bool> m_isStopping{false};
};

} // namespace review
