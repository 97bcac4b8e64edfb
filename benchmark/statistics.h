#pragma once

#include "enginefleet.h"

#include <cmath>
#include <cstdio>
#include <functional>

namespace benchmark {

/** Mean and spread over the seeds. */
struct Spread
{
    std::vector<double> values;

    void add(double value)
    {
        values.push_back(value);
    }

    [[nodiscard]] double mean() const
    {
        double sum = 0;
        for (const double value : values) {
            sum += value;
        }
        return sum / static_cast<double>(values.size());
    }

    [[nodiscard]] double least() const
    {
        return *std::min_element(values.begin(), values.end());
    }

    [[nodiscard]] double most() const
    {
        return *std::max_element(values.begin(), values.end());
    }
};

inline void print(const char *name, const Spread &spread, const char *unit, double scale = 1)
{
    std::printf("    %-34s %9.2f %s (%.2f to %.2f)\n", name, spread.mean() * scale, unit, spread.least() * scale, spread.most() * scale);
}

struct Stalls
{
    double requests = 0;
    double seconds = 0;
};

/** Requests that arrived in [from, to) and waited for a load. One that was never answered counts with its whole patience. */
inline Stalls countStalls(const std::vector<Call> &calls, const RunResult &result, double from, double to)
{
    Stalls stalls;
    for (std::size_t i = 0; i < calls.size(); ++i) {
        const CallResult &call = result.calls[i];
        if (calls[i].arrival < from || calls[i].arrival >= to) {
            continue;
        }
        const bool unanswered = call.outcome != CallResult::Outcome::OnTime && call.stall == 0;
        if (call.stall > 0 || unanswered) {
            ++stalls.requests;
            stalls.seconds += unanswered ? calls[i].deadline - calls[i].arrival : call.stall;
        }
    }
    return stalls;
}

/** Part of the selected calls with the outcome. */
inline double share(const std::vector<Call> &calls, const RunResult &result, CallResult::Outcome outcome, const std::function<bool(const Call &)> &selected)
{
    double all = 0;
    double matching = 0;
    for (std::size_t i = 0; i < calls.size(); ++i) {
        if (selected(calls[i])) {
            ++all;
            matching += result.calls[i].outcome == outcome ? 1 : 0;
        }
    }
    return all > 0 ? matching / all : 1;
}

/** On-time share of the worst-served organisation among those selected. */
inline double worstOrganisation(const std::vector<Call> &calls, const RunResult &result, double from, double to, std::uint32_t except)
{
    double worst = 1;
    for (std::uint32_t organisation = 1; organisation <= organisationCount; ++organisation) {
        if (organisation != except) {
            worst = std::min(worst, share(calls, result, CallResult::Outcome::OnTime, [&](const Call &call) {
                                 return call.organisation == organisation && call.arrival >= from && call.arrival < to;
                             }));
        }
    }
    return worst;
}

/** Lowest on-time share in windows of 5 s. */
inline double worstWindow(const std::vector<Call> &calls, const RunResult &result, double from, double to)
{
    constexpr double window = 5;
    double worst = 1;
    for (double start = from; start + window <= to; start += window) {
        worst = std::min(worst, share(calls, result, CallResult::Outcome::OnTime, [&](const Call &call) {
                             return call.arrival >= start && call.arrival < start + window;
                         }));
    }
    return worst;
}

} // namespace benchmark
