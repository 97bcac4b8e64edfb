#include "mimosahollow/callpermits/permitissuer.h"

#include <algorithm>

namespace mimosahollow::callpermits {

bool applyStatement(PermitIssuer &issuer, const StatedLimit &stated, TimePoint statedAt, TimePoint now)
{
    const auto [found, isNew] = issuer.buckets.try_emplace(stated.server);
    ServerPermits &bucket = found->second;
    const bool isOlder = stated.born < bucket.born || (stated.born == bucket.born && statedAt <= bucket.statedAt);
    if (!isNew && isOlder) {
        return false;
    }
    const bool isChanged = stated.born != bucket.born || stated.callsPerSecond != bucket.statedLimit;
    if (stated.born != bucket.born) {
        bucket = {}; // without permits: what the other incarnation has not got is no credit of this one
        bucket.born = stated.born;
    }
    bucket.statedLimit = stated.callsPerSecond;
    setLimit(bucket, stated.callsPerSecond * issuer.issuedShare, now);
    bucket.statedAt = statedAt;
    return isChanged;
}

void setIssuedShare(PermitIssuer &issuer, double share, TimePoint now)
{
    if (share == issuer.issuedShare) {
        return;
    }
    issuer.issuedShare = share;
    for (auto &[server, bucket] : issuer.buckets) {
        setLimit(bucket, bucket.statedLimit * share, now);
    }
}

unsigned issue(PermitIssuer &issuer, const std::string &server, unsigned wanted, TimePoint now)
{
    const auto found = issuer.buckets.find(server);
    if (found == issuer.buckets.end() || found->second.callsPerSecond <= 0) {
        return 0;
    }
    const unsigned issued = std::min(wanted, static_cast<unsigned>(permitsAt(found->second, now)));
    takePermits(found->second, issued, now);
    return issued;
}

void takeBack(PermitIssuer &issuer, const std::string &server, unsigned permits, TimePoint now)
{
    if (const auto found = issuer.buckets.find(server); found != issuer.buckets.end()) {
        takePermits(found->second, -static_cast<double>(permits), now);
    }
}

void forgetEnded(PermitIssuer &issuer, TimePoint now)
{
    std::erase_if(issuer.buckets, [&issuer, now](const auto &item) {
        return item.second.statedLimit <= 0 && now - item.second.statedAt > issuer.options.memory;
    });
}

} // namespace mimosahollow::callpermits
