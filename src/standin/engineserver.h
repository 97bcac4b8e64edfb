#pragma once

#include "mimosahollow/standin/engineoptions.h"

#include "gateway/httptypes.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json/object.hpp>

#include <map>
#include <thread>

namespace mimosahollow::standin {

/** The server behind Engine. All state belongs to its one thread. */
class EngineServer
{
public:
    explicit EngineServer(EngineOptions options);
    ~EngineServer();
    EngineServer(const EngineServer &) = delete;
    EngineServer &operator=(const EngineServer &) = delete;

    void start();
    void stop();

private:
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<bool> handle(boost::beast::tcp_stream &stream, const gateway::HttpRequest &request);
    boost::asio::awaitable<bool> generate(boost::beast::tcp_stream &stream, const gateway::HttpRequest &request);
    boost::asio::awaitable<bool> takeOrder(boost::beast::tcp_stream &stream, const gateway::HttpRequest &request);
    boost::asio::awaitable<void> announce(std::string target);
    boost::asio::awaitable<bool> sendAnnouncement(std::string target);
    [[nodiscard]] std::string announcementBody() const;

    EngineOptions m_options;
    std::uint64_t m_incarnation;
    std::uint64_t m_highestFencing = 0;
    std::uint32_t m_running = 0;
    std::uint64_t m_serviceCalls = 0;
    std::map<std::string, std::uint32_t> m_adapters; /**< Resident adapters and their running calls. */
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::thread m_thread;
};

} // namespace mimosahollow::standin
