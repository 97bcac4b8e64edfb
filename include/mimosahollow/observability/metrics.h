#pragma once

#include "mimosahollow/core/refusal.h"
#include "mimosahollow/core/rejection.h"
#include "mimosahollow/core/time.h"
#include "mimosahollow/hedging/exclusion.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace mimosahollow::observability {

/** How a call ended, as a label of the metrics. */
enum class CallEnd : std::uint8_t {
    Completed,
    Refused,
    Failed,
    CallerLeft,
    DeadlineExceeded,
};

/** Metrics of one thread. Only that thread writes; any thread may read. Never blocks and never allocates. */
class ThreadMetrics
{
public:
    ThreadMetrics();
    ~ThreadMetrics();
    ThreadMetrics(const ThreadMetrics &) = delete;
    ThreadMetrics &operator=(const ThreadMetrics &) = delete;

    void callEnded(CallEnd end, Duration latency) noexcept;
    void refused(RefusalReason reason) noexcept;
    void rejected(RejectionCause cause) noexcept;
    void firstToken(Duration latency) noexcept;
    void chunkInterval(Duration interval) noexcept;
    void attemptRetried() noexcept;
    void streamResumed() noexcept;
    void repliesTaken(std::size_t count) noexcept;
    void ringFull() noexcept;
    void callStarted() noexcept;
    void setConnections(std::uint32_t count) noexcept;
    void setWaitingCalls(std::size_t count) noexcept;
    void secondCopySent() noexcept;
    void secondCopyWon() noexcept;
    /** No second copy of a late call was sent at first because of @p cause. */
    void secondCopyExcluded(hedging::Exclusion cause) noexcept;

private:
    friend class Metrics;
    struct Content;
    std::unique_ptr<Content> m_content;
};

/** Counters and histograms of the gateway: one instance for each thread, added up when read. */
class Metrics
{
public:
    explicit Metrics(std::size_t threads);

    [[nodiscard]] ThreadMetrics &thread(std::size_t index) noexcept;
    /** Prometheus text. May be called on any thread. */
    [[nodiscard]] std::string text() const;

private:
    std::vector<std::unique_ptr<ThreadMetrics>> m_threads;
};

} // namespace mimosahollow::observability
