#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <ctime>
#include <functional>
#include <string>

namespace mimosahollow::app {

/** Blocks the signals that a LoopProcess handles; they are delivered once it has been constructed. */
void blockLoopSignals();

/** A process on one event loop: signals, changes of its settings file, and its log. */
class LoopProcess
{
public:
    explicit LoopProcess(std::string role);
    ~LoopProcess();
    LoopProcess(const LoopProcess &) = delete;
    LoopProcess &operator=(const LoopProcess &) = delete;

    [[nodiscard]] boost::asio::io_context &context() noexcept;
    /** @p stop is called once, on SIGTERM or SIGINT. */
    void onStop(std::function<void()> stop);
    /** @p reload is called on SIGHUP, and when the file at @p path has changed. */
    void onReload(const std::string &path, std::function<void()> reload);

    /** Runs until end() or fail(). Returns the exit code. */
    [[nodiscard]] int run();
    void end();
    /** Ends with a code that says that the process cannot go on. */
    void fail();

private:
    void waitForSignal();
    void watch();

    std::string m_role;
    boost::asio::io_context m_context;
    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_timer;
    std::function<void()> m_stop;
    std::function<void()> m_reload;
    std::string m_path;
    std::time_t m_fileTime = 0;
    unsigned m_ticks = 0;
    int m_exitCode = 0;
};

} // namespace mimosahollow::app
