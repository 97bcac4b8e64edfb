#pragma once

#include "mimosahollow/core/time.h"

#include <optional>

namespace mimosahollow::callpermits {

/** Permits for calls to one backend server that has named a limit; they accrue at the limit. */
struct PermitBucket
{
    double callsPerSecond = 0; /**< 0: no limit. */
    double permits = 0; /**< At @c updatedAt. */
    TimePoint updatedAt{};
};

/** Calls per second under the limit that an answer names, 0 if it names none. Never so few that the server could not raise its limit again. */
[[nodiscard]] double limitInForce(std::optional<double> named) noexcept;

/** Permits at @p now, those of half a second at most, and one at least once it has accrued. */
[[nodiscard]] double permitsAt(const PermitBucket &bucket, TimePoint now) noexcept;

/** Whether a call may be sent: there is no limit, or a permit. */
[[nodiscard]] bool hasPermit(const PermitBucket &bucket, TimePoint now) noexcept;

/** Changes the limit to @p callsPerSecond, 0: none. Permits accrued so far are kept. */
void setLimit(PermitBucket &bucket, double callsPerSecond, TimePoint now) noexcept;

/** Takes @p permits, or returns them if negative. No effect without a limit. */
void takePermits(PermitBucket &bucket, double permits, TimePoint now) noexcept;

} // namespace mimosahollow::callpermits
