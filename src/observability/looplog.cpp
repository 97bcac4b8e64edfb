#include "mimosahollow/observability/log.h"

#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>

#include <algorithm>
#include <cerrno>
#include <poll.h>
#include <string>
#include <unistd.h>

namespace mimosahollow::observability {

namespace {

constexpr std::size_t keptBytes = std::size_t{512} << 10; // about 2,500 lines
constexpr std::size_t pipeBytes = 4096; // a pipe that is ready takes so many bytes without blocking

/** Keeps formatted lines until they are written. */
class LoopAppender : public log4cplus::Appender
{
public:
    LoopAppender() = default;
    LoopAppender(const LoopAppender &) = delete;
    LoopAppender &operator=(const LoopAppender &) = delete;
    ~LoopAppender() override
    {
        destructorImpl();
    }

    void close() override
    {
        closed = true;
    }

    void flush()
    {
        const log4cplus::thread::MutexGuard guard(access_mutex);
        if (m_dropped > 0 && m_lines.size() < keptBytes / 2) {
            m_lines += "log: " + std::to_string(m_dropped) + " lines were dropped because the reader was too slow\n";
            m_dropped = 0;
        }
        std::size_t written = 0;
        while (written < m_lines.size()) {
            pollfd ready{STDOUT_FILENO, POLLOUT, 0};
            if (::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
                break;
            }
            const std::size_t size = std::min(pipeBytes, m_lines.size() - written);
            const ssize_t count = ::write(STDOUT_FILENO, m_lines.data() + written, size);
            if (count <= 0) {
                break; // standard output is closed or full; the lines stay within their bound
            }
            written += static_cast<std::size_t>(count);
        }
        m_lines.erase(0, written);
    }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override
    {
        if (m_lines.size() >= keptBytes) {
            ++m_dropped;
            return;
        }
        log4cplus::tstring &line = formatEvent(event);
        m_lines += line;
    }

private:
    std::string m_lines;
    std::uint64_t m_dropped = 0;
};

LoopAppender *&installedAppender()
{
    static LoopAppender *appender = nullptr;
    return appender;
}

} // namespace

void setUpLoopLog()
{
    static const log4cplus::Initializer initializer;
    auto *appender = new LoopAppender; // owned by the logger
    const log4cplus::SharedAppenderPtr owner(appender);
    owner->setLayout(std::make_unique<log4cplus::PatternLayout>("%D{%Y-%m-%dT%H:%M:%S.%q} %p %c %m%n"));
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(owner);
    root.setLogLevel(log4cplus::INFO_LOG_LEVEL);
    installedAppender() = appender;
}

void flushLoopLog()
{
    if (installedAppender() != nullptr) {
        installedAppender()->flush();
    }
}

} // namespace mimosahollow::observability
