#include "loopprocess.h"

#include "exitcodes.h"
#include "mimosahollow/observability/decisionline.h"
#include "mimosahollow/observability/log.h"

#include <chrono>
#include <csignal>
#include <malloc.h>
#include <sys/stat.h>
#include <utility>

namespace mimosahollow::app {

namespace {

constexpr std::chrono::milliseconds flushInterval{200}; // each write of log lines costs a system call
// glibc raises its threshold up to 32 MiB when such blocks are freed, and then keeps the memory of request bodies for itself.
constexpr int largeBlockBytes = 128 * 1024;
constexpr unsigned ticksPerFileCheck = 5; // once a second

std::time_t modificationTime(const std::string &path)
{
    struct stat status = {};
    return ::stat(path.c_str(), &status) == 0 ? status.st_mtim.tv_sec * 1000 + status.st_mtim.tv_nsec / 1'000'000 : 0;
}

void logProcess(std::string_view event, std::string_view role)
{
    observability::DecisionLine line(event);
    line.add("role", role);
    observability::logDecision(line.text());
}

sigset_t loopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    for (const int number : {SIGTERM, SIGINT, SIGHUP}) {
        sigaddset(&signals, number);
    }
    return signals;
}

} // namespace

void blockLoopSignals()
{
    const sigset_t signals = loopSignals();
    ::pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

LoopProcess::LoopProcess(std::string role) : m_role(std::move(role)), m_context(1), m_signals(m_context, SIGTERM, SIGINT, SIGHUP), m_timer(m_context)
{
    ::mallopt(M_MMAP_THRESHOLD, largeBlockBytes);
    std::signal(SIGPIPE, SIG_IGN); // NOLINT(cert-err33-c): a closed connection is reported by the write itself
    // Without handlers, a reload just after the start would end the process.
    const sigset_t signals = loopSignals();
    ::pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
    observability::setUpLoopLog();
    logProcess("start", m_role);
    waitForSignal();
    watch();
}

LoopProcess::~LoopProcess()
{
    observability::flushLoopLog();
}

boost::asio::io_context &LoopProcess::context() noexcept
{
    return m_context;
}

void LoopProcess::onStop(std::function<void()> stop)
{
    m_stop = std::move(stop);
}

void LoopProcess::onReload(const std::string &path, std::function<void()> reload)
{
    m_path = path;
    m_fileTime = modificationTime(path);
    m_reload = std::move(reload);
}

int LoopProcess::run()
{
    m_context.run();
    logProcess("stopped", m_role);
    return m_exitCode;
}

void LoopProcess::end()
{
    m_context.stop();
}

void LoopProcess::fail()
{
    m_exitCode = StartFailed;
    m_context.stop();
}

void LoopProcess::waitForSignal()
{
    m_signals.async_wait([this](boost::system::error_code error, int signal) {
        if (error) {
            return;
        }
        if (signal == SIGHUP) {
            if (m_reload) {
                m_reload();
            }
        } else if (m_stop) {
            logProcess("stop-signal", m_role);
            std::exchange(m_stop, nullptr)();
        }
        waitForSignal();
    });
}

void LoopProcess::watch()
{
    m_timer.expires_after(flushInterval);
    m_timer.async_wait([this](boost::system::error_code error) {
        if (error) {
            return;
        }
        observability::flushLoopLog();
        if (++m_ticks % ticksPerFileCheck == 0 && m_reload) {
            if (const std::time_t time = modificationTime(m_path); time != m_fileTime) {
                m_fileTime = time;
                m_reload();
            }
        }
        watch();
    });
}

} // namespace mimosahollow::app
