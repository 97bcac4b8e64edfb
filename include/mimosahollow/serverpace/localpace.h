#pragma once

#include "mimosahollow/core/time.h"
#include "mimosahollow/serverpace/statedload.h"

#include <deque>

namespace mimosahollow::serverpace {

/** What one entry instance knows of the pace of a backend server from its own calls. */
struct LocalPace
{
    StatedLoad stated;
    TimePoint statedAt{}; /**< Unset: no answer has stated a load. */
    std::deque<TimePoint> awaited; /**< Send times of calls without a first event or answer, oldest first. */
    bool isProblemLogged = false; /**< A missing or malformed statement is logged once. */
};

/** Usual time to the first event or answer of a service, at one entry instance. */
struct UsualAnswer
{
    double seconds = 0; /**< Exponential average. */
    unsigned samples = 0;
};

void recordAnswer(UsualAnswer &usual, Duration time);

/** Factor by which the newest statement raises or lowers the pace of its server; 1 without one or once it is old. */
[[nodiscard]] double statedFactor(const LocalPace &local, TimePoint now);

/** Calls that wait at the server, as a part of its slots, from 0 to 1; 0 without a statement or once it is old. */
[[nodiscard]] double statedQueue(const LocalPace &local, TimePoint now);

/** Least pace that follows from calls without an answer; 0: none has waited for several times the usual time. */
[[nodiscard]] double stalledPace(const LocalPace &local, const UsualAnswer &usual, TimePoint now);

} // namespace mimosahollow::serverpace
