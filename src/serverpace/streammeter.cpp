#include "mimosahollow/serverpace/streammeter.h"

#include <algorithm>
#include <utility>

namespace mimosahollow::serverpace {

namespace {

constexpr unsigned leastEvents = 3; // one pause would dominate the only interval of a shorter stream
/** Six times a usual interval of 44 ms on a server that is 7.5 times as slow; longer ones come from a lost packet or a frozen instance. */
constexpr Duration longestInterval = seconds(2);

} // namespace

IntervalSum eventsArrived(StreamMeter &meter, unsigned count, TimePoint now)
{
    if (count == 0) {
        return {};
    }
    meter.events += std::min(count, leastEvents);
    if (meter.lastEventAt != TimePoint{}) {
        // Events that arrive together share the time since the previous one, so that the mean does not depend on how reads cut the stream.
        meter.held.total += std::min<Duration>(now - meter.lastEventAt, longestInterval);
        meter.held.count += count;
    }
    meter.lastEventAt = now;
    meter.events = std::min(meter.events, leastEvents);
    return meter.events < leastEvents ? IntervalSum{} : std::exchange(meter.held, {});
}

void dropInterval(StreamMeter &meter)
{
    meter.lastEventAt = {};
}

} // namespace mimosahollow::serverpace
