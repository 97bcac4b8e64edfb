#pragma once

#include "fleet.h"
#include "record.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace mimosahollow::soak {

struct BackendOptions
{
    std::string service;
    std::string name;
    std::string address;
    std::string domain;
    unsigned slots = 8;
    bool isEngine = false;
};

/** What a backend server does wrong for some time. */
enum class BackendFault : std::uint8_t {
    None,
    Silence, /**< Rejects calls with 503 and Retry-After. */
    Errors, /**< Answers with 500. */
    Resets, /**< Resets connections in the middle of answers. */
    Copies, /**< Sends late copies of its rejections and answers. */
    ShortHeads, /**< Closes in the middle of the head of its answer. */
    Leaving, /**< Says in its answers that it leaves, and ends later. */
};

/** Stand-in for a backend server, on the event loop of the soak. */
class Backend
{
public:
    Backend(boost::asio::io_context &context, const Fleet &fleet, Record &record, BackendOptions options, std::uint64_t seed);
    ~Backend();
    Backend(const Backend &) = delete;
    Backend &operator=(const Backend &) = delete;

    void start();
    /** Closes the listener and resets all connections, and starts again as another incarnation after @p seconds. */
    void crash(double seconds);
    void setFault(BackendFault fault, double seconds);
    /** Accepts connections and bytes, but handles no request for @p seconds. */
    void freeze(double seconds);

    [[nodiscard]] bool isRunning() const;

private:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;
    struct Connection;

    boost::asio::awaitable<void> accept(unsigned incarnation);
    boost::asio::awaitable<void> serve(std::shared_ptr<Connection> connection);
    boost::asio::awaitable<void> announceForever(unsigned incarnation);
    boost::asio::awaitable<bool> announce(std::string address);
    boost::asio::awaitable<bool> answer(Connection &connection, const Request &request);
    boost::asio::awaitable<bool> runCall(Connection &connection, const Request &request, CallRecord &call, std::size_t arrival);
    boost::asio::awaitable<bool> runPlain(Connection &connection, CallRecord &call, std::size_t arrival);
    boost::asio::awaitable<bool> stream(Connection &connection, const Request &request, CallRecord &call, std::size_t arrival);
    boost::asio::awaitable<bool> write(Connection &connection, std::string bytes);
    boost::asio::awaitable<bool> reject(Connection &connection, const CallRecord &call, std::string status, std::string fields);
    [[nodiscard]] std::string handleOrder(const Request &request);
    [[nodiscard]] std::string report() const;
    [[nodiscard]] std::string announcement();
    [[nodiscard]] std::string models(bool isComing) const;
    [[nodiscard]] std::string commonFields(const CallRecord &call) const;
    [[nodiscard]] bool holds(const std::string &model) const;
    [[nodiscard]] bool chance(double share);

    boost::asio::io_context &m_context;
    const Fleet &m_fleet;
    Record &m_record;
    BackendOptions m_options;
    std::minstd_rand m_random;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_restart;
    std::set<std::shared_ptr<Connection>> m_connections;
    std::string m_id;
    std::uint64_t m_born = 0;
    unsigned m_incarnation = 0;
    bool m_isRunning = false;
    unsigned m_announcements = 0;
    unsigned m_orders = 0;
    unsigned m_running = 0;
    std::map<std::string, double> m_adapters; // with the moment at which each is loaded
    BackendFault m_fault = BackendFault::None;
    double m_faultUntil = 0;
    double m_frozenUntil = 0;
};

} // namespace mimosahollow::soak
