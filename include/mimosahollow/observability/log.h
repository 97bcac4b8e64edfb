#pragma once

#include <string>
#include <string_view>

namespace mimosahollow::observability {

/** Sends log lines of @p level and above to @p file, or to standard error when it is empty. Returns an error message or nothing. */
[[nodiscard]] std::string setUpLog(const std::string &level, const std::string &file);

/**
 * Sends log lines to standard output, for a process on one event loop: lines are kept in memory until flushLoopLog(). When
 * the reader is too slow, further lines are counted and dropped.
 */
void setUpLoopLog();
/** Writes kept lines as far as standard output takes them at once. */
void flushLoopLog();

/** Stops the log thread and writes what it still holds. */
void shutDownLog();

/** Logs one line of the process itself. */
void logInfo(std::string_view message);
void logWarning(std::string_view message);
void logError(std::string_view message);

/** Logs one routing or placement decision; @p line is built by DecisionLine. */
void logDecision(std::string_view line);

} // namespace mimosahollow::observability
