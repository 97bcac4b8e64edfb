#include "mimosahollow/callpermits/permitbucket.h"

#include <algorithm>

namespace mimosahollow::callpermits {

namespace {

constexpr Duration burst = milliseconds(500); // longer ones would exceed the limit in the seconds after a pause

constexpr double minimumLimit = 0.1; // calls per second; a server without calls has no answer that could name another limit

double capped(const PermitBucket &bucket, double permits) noexcept
{
    return std::min(std::max(1.0, bucket.callsPerSecond * toSeconds(burst)), permits);
}

} // namespace

double limitInForce(std::optional<double> named) noexcept
{
    return named ? std::max(minimumLimit, *named) : 0;
}

double permitsAt(const PermitBucket &bucket, TimePoint now) noexcept
{
    return capped(bucket, bucket.permits + bucket.callsPerSecond * std::max(0.0, toSeconds(now - bucket.updatedAt)));
}

bool hasPermit(const PermitBucket &bucket, TimePoint now) noexcept
{
    return bucket.callsPerSecond <= 0 || permitsAt(bucket, now) >= 1;
}

void setLimit(PermitBucket &bucket, double callsPerSecond, TimePoint now) noexcept
{
    bucket.permits = permitsAt(bucket, now);
    bucket.updatedAt = now;
    bucket.callsPerSecond = callsPerSecond;
}

void takePermits(PermitBucket &bucket, double permits, TimePoint now) noexcept
{
    if (bucket.callsPerSecond > 0) {
        bucket.permits = capped(bucket, permitsAt(bucket, now) - permits);
        bucket.updatedAt = now;
    }
}

} // namespace mimosahollow::callpermits
