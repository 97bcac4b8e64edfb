#pragma once

#include "mimosahollow/core/time.h"

namespace mimosahollow::serverpace {

/** Intervals between events, as a sum. */
struct IntervalSum
{
    Duration total{};
    unsigned count = 0;
};

/** Measures the intervals between the events of one stream. */
struct StreamMeter
{
    TimePoint lastEventAt{}; /**< Unset: the next event begins a new interval. */
    unsigned events = 0;
    IntervalSum held; /**< Counts only once the stream has three events. */
};

/** Events, @p count together, have arrived. Returns the intervals that they add to the samples. */
[[nodiscard]] IntervalSum eventsArrived(StreamMeter &meter, unsigned count, TimePoint now);

/** Drops the interval that has begun: the caller, not the backend server, delays the next event. */
void dropInterval(StreamMeter &meter);

} // namespace mimosahollow::serverpace
