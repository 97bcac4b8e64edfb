#include "mimosahollow/observability/metrics.h"

#include <boost/histogram/accumulators/count.hpp>
#include <boost/histogram/axis/integer.hpp>
#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <string_view>

namespace mimosahollow::observability {

namespace {

namespace histogram = boost::histogram;

// The writer never waits; the atomic cells only let a reader on another thread see whole values.
using Storage = histogram::dense_storage<histogram::accumulators::count<std::uint64_t, true>>;
using SecondsAxis = histogram::axis::variable<double, histogram::use_default, histogram::axis::option::overflow_t>;
using Latencies = histogram::histogram<std::tuple<SecondsAxis>, Storage>;

// From below the gateway's own cost up to the longest deadline; first token target 1.1 s and chunk target 55 ms are bounds of buckets.
constexpr std::array latencyBounds{0.0, 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.055, 0.1, 0.25, 0.5, 1.1, 2.5, 5.0, 10.0, 30.0, 60.0, 600.0};

constexpr std::array<std::string_view, 5> callEndNames{"completed", "refused", "failed", "caller-left", "deadline-exceeded"};
constexpr std::size_t reasonCount = static_cast<std::size_t>(RefusalReason::PromptQuarantined) + 1;

Latencies makeLatencies()
{
    return histogram::make_histogram_with(Storage(), SecondsAxis(latencyBounds.begin(), latencyBounds.end()));
}

/** Histogram with the sum that Prometheus expects next to it. */
struct TimedHistogram
{
    Latencies buckets = makeLatencies();
    std::atomic<std::uint64_t> nanoseconds = 0;

    void record(Duration duration) noexcept
    {
        const Duration bounded = std::max(duration, Duration::zero());
        buckets(toSeconds(bounded));
        nanoseconds.fetch_add(static_cast<std::uint64_t>(std::chrono::nanoseconds(bounded).count()), std::memory_order_relaxed);
    }

    [[nodiscard]] std::uint64_t count() const
    {
        std::uint64_t sum = 0;
        for (std::size_t bucket = 0; bucket < latencyBounds.size(); ++bucket) {
            sum += buckets.at(static_cast<int>(bucket)).value();
        }
        return sum;
    }
};

using Counter = std::atomic<std::uint64_t>;

void add(Counter &counter, std::uint64_t amount = 1) noexcept
{
    counter.fetch_add(amount, std::memory_order_relaxed);
}

void writeHead(std::string &out, std::string_view name, std::string_view type)
{
    out.append("# TYPE mimosahollow_").append(name).append(" ").append(type).append("\n");
}

void writeSample(std::string &out, std::string_view name, std::string_view labels, std::uint64_t value)
{
    out.append("mimosahollow_").append(name);
    if (!labels.empty()) {
        out.append("{").append(labels).append("}");
    }
    out.append(" ").append(std::to_string(value)).append("\n");
}

std::string label(std::string_view key, std::string_view value)
{
    return std::string(key).append("=\"").append(value).append("\"");
}

std::string decimal(double value)
{
    std::array<char, 32> text{};
    const int length = std::snprintf(text.data(), text.size(), "%.9g", value);
    return {text.data(), static_cast<std::size_t>(length)};
}

template<typename Select>
void writeHistogram(std::string &out, std::string_view name, const std::string &labels, std::size_t threads, Select select)
{
    const std::string separator = labels.empty() ? "" : ",";
    std::uint64_t cumulated = 0;
    for (std::size_t bucket = 0; bucket < latencyBounds.size(); ++bucket) {
        for (std::size_t i = 0; i < threads; ++i) {
            cumulated += select(i).buckets.at(static_cast<int>(bucket)).value();
        }
        const bool last = bucket + 1 == latencyBounds.size();
        const std::string bound = last ? "+Inf" : decimal(latencyBounds[bucket + 1]);
        writeSample(out, std::string(name) + "_bucket", labels + separator + label("le", bound), cumulated);
    }
    std::uint64_t nanoseconds = 0;
    for (std::size_t i = 0; i < threads; ++i) {
        nanoseconds += select(i).nanoseconds.load(std::memory_order_relaxed);
    }
    const std::string braces = labels.empty() ? "" : "{" + labels + "}";
    out.append("mimosahollow_").append(name).append("_sum").append(braces).append(" ").append(decimal(static_cast<double>(nanoseconds) * 1e-9)).append("\n");
    writeSample(out, std::string(name) + "_count", labels, cumulated);
}

} // namespace

struct ThreadMetrics::Content
{
    std::array<TimedHistogram, callEndNames.size()> calls;
    std::array<Counter, reasonCount> refusals{};
    std::array<Counter, rejectionCauseNames.size()> rejections{};
    TimedHistogram firstToken;
    TimedHistogram chunkInterval;
    Counter retries = 0;
    Counter resumptions = 0;
    Counter ringFull = 0;
    Counter replies = 0;
    Counter replyPeak = 0;
    Counter startedCalls = 0;
    Counter connections = 0;
    Counter waitingCalls = 0;
    Counter secondCopiesSent = 0;
    Counter secondCopiesWon = 0;
    std::array<Counter, hedging::exclusionCount> secondCopyExclusions{};
};

ThreadMetrics::ThreadMetrics() : m_content(std::make_unique<Content>())
{
}

ThreadMetrics::~ThreadMetrics() = default;

void ThreadMetrics::callEnded(CallEnd end, Duration latency) noexcept
{
    m_content->calls[static_cast<std::size_t>(end)].record(latency);
}

void ThreadMetrics::refused(RefusalReason reason) noexcept
{
    add(m_content->refusals[static_cast<std::size_t>(reason)]);
}

void ThreadMetrics::rejected(RejectionCause cause) noexcept
{
    add(m_content->rejections[static_cast<std::size_t>(cause)]);
}

void ThreadMetrics::firstToken(Duration latency) noexcept
{
    m_content->firstToken.record(latency);
}

void ThreadMetrics::chunkInterval(Duration interval) noexcept
{
    m_content->chunkInterval.record(interval);
}

void ThreadMetrics::attemptRetried() noexcept
{
    add(m_content->retries);
}

void ThreadMetrics::streamResumed() noexcept
{
    add(m_content->resumptions);
}

void ThreadMetrics::repliesTaken(std::size_t count) noexcept
{
    add(m_content->replies, count);
    const std::uint64_t peak = std::max<std::uint64_t>(m_content->replyPeak.load(std::memory_order_relaxed), count);
    m_content->replyPeak.store(peak, std::memory_order_relaxed);
}

void ThreadMetrics::ringFull() noexcept
{
    add(m_content->ringFull);
}

void ThreadMetrics::callStarted() noexcept
{
    add(m_content->startedCalls);
}

void ThreadMetrics::setConnections(std::uint32_t count) noexcept
{
    m_content->connections.store(count, std::memory_order_relaxed);
}

void ThreadMetrics::setWaitingCalls(std::size_t count) noexcept
{
    m_content->waitingCalls.store(count, std::memory_order_relaxed);
}

void ThreadMetrics::secondCopySent() noexcept
{
    add(m_content->secondCopiesSent);
}

void ThreadMetrics::secondCopyWon() noexcept
{
    add(m_content->secondCopiesWon);
}

void ThreadMetrics::secondCopyExcluded(hedging::Exclusion cause) noexcept
{
    add(m_content->secondCopyExclusions[static_cast<std::size_t>(cause)]);
}

Metrics::Metrics(std::size_t threads)
{
    for (std::size_t i = 0; i < threads; ++i) {
        m_threads.push_back(std::make_unique<ThreadMetrics>());
    }
}

ThreadMetrics &Metrics::thread(std::size_t index) noexcept
{
    return *m_threads[index];
}

std::string Metrics::text() const
{
    std::string out;
    const auto total = [this](auto select) {
        std::uint64_t sum = 0;
        for (const auto &thread : m_threads) {
            sum += select(*thread->m_content).load(std::memory_order_relaxed);
        }
        return sum;
    };
    using Content = ThreadMetrics::Content;
    const auto single = [&](std::string_view name, std::string_view type, Counter Content::*member) {
        writeHead(out, name, type);
        writeSample(out, name, {}, total([member](const Content &content) -> const Counter & {
                        return content.*member;
                    }));
    };
    const std::size_t threads = m_threads.size();
    writeHead(out, "call_seconds", "histogram");
    for (std::size_t end = 0; end < callEndNames.size(); ++end) {
        writeHistogram(out, "call_seconds", label("outcome", callEndNames[end]), threads, [&](std::size_t i) -> const TimedHistogram & {
            return m_threads[i]->m_content->calls[end];
        });
    }
    writeHead(out, "refusals_total", "counter");
    for (std::size_t reason = 0; reason < reasonCount; ++reason) {
        writeSample(
            out, "refusals_total", label("reason", toString(static_cast<RefusalReason>(reason))), total([reason](const Content &content) -> const Counter & {
                return content.refusals[reason];
            }));
    }
    writeHead(out, "rejections_total", "counter");
    for (std::size_t cause = 0; cause < rejectionCauseNames.size(); ++cause) {
        writeSample(out, "rejections_total", label("cause", rejectionCauseNames[cause]), total([cause](const Content &content) -> const Counter & {
                        return content.rejections[cause];
                    }));
    }
    writeHead(out, "first_token_seconds", "histogram");
    writeHistogram(out, "first_token_seconds", {}, threads, [&](std::size_t i) -> const TimedHistogram & {
        return m_threads[i]->m_content->firstToken;
    });
    writeHead(out, "chunk_interval_seconds", "histogram");
    writeHistogram(out, "chunk_interval_seconds", {}, threads, [&](std::size_t i) -> const TimedHistogram & {
        return m_threads[i]->m_content->chunkInterval;
    });
    single("retries_total", "counter", &Content::retries);
    single("resumptions_total", "counter", &Content::resumptions);
    single("dispatch_ring_full_total", "counter", &Content::ringFull);
    single("replies_total", "counter", &Content::replies);
    // Ended calls are read before started ones; a call that starts in between counts as running.
    std::uint64_t ended = 0;
    for (const auto &thread : m_threads) {
        for (const TimedHistogram &calls : thread->m_content->calls) {
            ended += calls.count();
        }
    }
    writeHead(out, "running_calls", "gauge");
    const std::uint64_t started = total([](const Content &content) -> const Counter & {
        return content.startedCalls;
    });
    writeSample(out, "running_calls", {}, std::max(started, ended) - ended);
    single("connections", "gauge", &Content::connections);
    single("waiting_calls", "gauge", &Content::waitingCalls);
    single("second_copies_sent_total", "counter", &Content::secondCopiesSent);
    single("second_copies_won_total", "counter", &Content::secondCopiesWon);
    writeHead(out, "second_copies_excluded_total", "counter");
    for (std::size_t cause = 0; cause < hedging::exclusionCount; ++cause) {
        const std::uint64_t count = total([cause](const Content &content) -> const Counter & {
            return content.secondCopyExclusions[cause];
        });
        if (count > 0) {
            writeSample(out, "second_copies_excluded_total", label("cause", toString(static_cast<hedging::Exclusion>(cause))), count);
        }
    }
    writeHead(out, "reply_ring_peak", "gauge");
    for (std::size_t i = 0; i < threads; ++i) {
        writeSample(out, "reply_ring_peak", label("thread", std::to_string(i)), m_threads[i]->m_content->replyPeak.load(std::memory_order_relaxed));
    }
    return out;
}

} // namespace mimosahollow::observability
