#pragma once

#include "enginestate.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <thread>
#include <vector>

namespace mimosahollow::standin {

/** The server behind Engine: its listener, its connections and its thread. */
class EngineServer
{
public:
    explicit EngineServer(EngineOptions options);
    ~EngineServer();
    EngineServer(const EngineServer &) = delete;
    EngineServer &operator=(const EngineServer &) = delete;

    void start();
    void stop();
    [[nodiscard]] std::vector<EngineCall> calls();
    void setFaults(const EngineFaults &faults);
    void restart();

private:
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<bool> handle(EngineConnection &connection, const gateway::HttpRequest &request);
    void runOnThread(const std::function<void()> &task);

    EngineState m_state;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::thread m_thread;
};

} // namespace mimosahollow::standin
