#include "mimosahollow/observability/log.h"

#include <log4cplus/asyncappender.h>
#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <memory>

namespace mimosahollow::observability {

namespace {

constexpr unsigned queueLines = 16'384;
constexpr const char *linePattern = "%D{%Y-%m-%dT%H:%M:%S.%q} %p %c %m%n";

log4cplus::Logger processLogger()
{
    return log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("process"));
}

log4cplus::Logger decisionLogger()
{
    static const log4cplus::Logger logger = log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("decision"));
    return logger;
}

log4cplus::tstring copy(std::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

std::string setUpLog(const std::string &level, const std::string &file)
{
    static const log4cplus::Initializer initializer;
    log4cplus::SharedAppenderPtr target;
    if (file.empty()) {
        target = new log4cplus::ConsoleAppender(true, true);
    } else {
        target = new log4cplus::FileAppender(file, std::ios_base::app);
    }
    target->setLayout(std::make_unique<log4cplus::PatternLayout>(linePattern));
    // A log thread of its own: decision lines must not wait for a disk or a terminal.
    const log4cplus::SharedAppenderPtr queue(new log4cplus::AsyncAppender(target, queueLines));
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(queue);
    const log4cplus::LogLevel value = log4cplus::getLogLevelManager().fromString(level);
    if (value == log4cplus::NOT_SET_LOG_LEVEL) {
        return "unknown log level " + level;
    }
    root.setLogLevel(value);
    return {};
}

void shutDownLog()
{
    log4cplus::Logger::shutdown();
}

void logInfo(std::string_view message)
{
    LOG4CPLUS_INFO(processLogger(), copy(message));
}

void logWarning(std::string_view message)
{
    LOG4CPLUS_WARN(processLogger(), copy(message));
}

void logError(std::string_view message)
{
    LOG4CPLUS_ERROR(processLogger(), copy(message));
}

void logDecision(std::string_view line)
{
    LOG4CPLUS_INFO(decisionLogger(), copy(line));
}

} // namespace mimosahollow::observability

#ifdef __SANITIZE_THREAD__
// The log library is not instrumented. When its queue thread has ended before close() looks, close() sees that through an atomic
// flag instead of a join, and the thread sanitizer takes the release of the queue for a race with the ended thread.
extern "C" const char *__tsan_default_suppressions() // NOLINT(bugprone-reserved-identifier): the name that the sanitizer looks for
{
    return "race:log4cplus::AsyncAppender::close\n";
}
#endif
