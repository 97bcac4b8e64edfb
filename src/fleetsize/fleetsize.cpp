#include "mimosahollow/fleetsize/fleetsize.h"

#include <algorithm>
#include <cmath>

namespace mimosahollow::fleetsize {

namespace {

constexpr double negligible = 0.001; // of a server; averages never fall to 0
constexpr double noiseThreshold = 1.5; // square roots of the number of calls

/** What the rules below look at in one failure domain. */
struct Domain
{
    DomainLoad load;
    DomainSize *size = nullptr;
    bool isLost = false;
};

/** Failure domains of @p load, and those that are known but not named: all their servers are forgotten. */
std::vector<Domain> joinDomains(FleetSize &size, const ServiceLoad &load)
{
    std::vector<Domain> domains;
    for (const DomainLoad &entry : load.domains) {
        size.domains.try_emplace(entry.domain);
    }
    for (auto &[name, known] : size.domains) {
        const auto found = std::find_if(load.domains.begin(), load.domains.end(), [&name = name](const DomainLoad &entry) {
            return entry.domain == name;
        });
        Domain domain{found == load.domains.end() ? DomainLoad{name} : *found, &known, false};
        known.hasBeenReady = known.hasBeenReady || domain.load.ready > 0;
        domain.isLost = !domain.load.isUsable || (known.hasBeenReady && known.wanted > 0 && domain.load.ready == 0);
        domains.push_back(std::move(domain));
    }
    return domains;
}

/** The calls of an incomplete view are too few. They rise when the missing reports arrive, which is no trend, and their fall means nothing. */
void updateAverages(const FleetSizeOptions &options, DomainSize &domain, double calls, bool isComplete, Duration elapsed)
{
    if (!domain.calls) {
        domain.calls = CallAverages{calls, calls};
        return;
    }
    CallAverages &averages = *domain.calls;
    if (!isComplete) {
        averages = {std::max(averages.quick, calls), std::max(averages.quick, calls)};
        return;
    }
    const auto weight = [elapsed](Duration average) {
        return 1 - std::exp(-toSeconds(elapsed) / toSeconds(average));
    };
    averages.quick += (calls - averages.quick) * weight(options.quickAverage);
    averages.slow += (calls - averages.slow) * weight(options.slowAverage);
}

/**
 * Calls by which the demand of all failure domains together grows until the end of the boot time. Demand that only moves between them does not
 * grow; it finds room on the servers that it leaves. On a steady rise each average lags behind by its own time constant. Random arrivals make the
 * number of calls vary by its square root; with a threshold of once that, noise alone led to 45 orders in 120 s in the random test.
 */
double predictedGrowth(const FleetSizeOptions &options, const std::vector<Domain> &domains, Duration bootTime)
{
    CallAverages total;
    for (const Domain &domain : domains) {
        total.quick += domain.size->calls->quick;
        total.slow += domain.size->calls->slow;
    }
    const double rise = total.quick - total.slow;
    if (rise < noiseThreshold * std::sqrt(total.quick)) {
        return 0;
    }
    const double perSecond = rise / toSeconds(options.slowAverage - options.quickAverage);
    return std::min(perSecond * toSeconds(bootTime + options.lead), total.quick * (options.mostGrowth - 1));
}

/** Calls of each failure domain at the end of the boot time. The growth belongs to those that grow now. */
std::vector<double> predictedCalls(const FleetSizeOptions &options, const std::vector<Domain> &domains, Duration bootTime)
{
    const double growth = predictedGrowth(options, domains, bootTime);
    double rises = 0;
    for (const Domain &domain : domains) {
        rises += std::max(0.0, domain.size->calls->quick - domain.size->calls->slow);
    }
    std::vector<double> calls;
    for (const Domain &domain : domains) {
        const CallAverages &averages = *domain.size->calls;
        const double share = rises > 0 ? std::max(0.0, averages.quick - averages.slow) / rises : 0;
        calls.push_back(averages.quick + growth * share);
    }
    return calls;
}

/**
 * Largest load that moves to each of the other failure domains when one is lost. With equal loads in three of them, the share of slots in use is two
 * thirds of the highest use. While one is lost already, the reserve carries its calls.
 */
double reserve(const std::vector<Domain> &domains, const Domain &domain, const std::vector<double> &calls)
{
    double most = 0;
    unsigned others = 0;
    for (std::size_t i = 0; i < domains.size(); ++i) {
        if (domains[i].isLost) {
            return 0;
        }
        if (&domains[i] != &domain && domains[i].size->hasBeenReady) {
            most = std::max(most, calls[i]);
            ++others;
        }
    }
    return others == 0 ? 0 : most / others;
}

/** Moves what does not fit under the maximum to the failure domains that have room. */
void spreadExcess(std::vector<Domain> &domains, unsigned maximum)
{
    double excess = 0;
    double room = 0;
    for (const Domain &domain : domains) {
        if (!domain.isLost) {
            excess += std::max(0.0, domain.size->need - maximum);
            room += std::max(0.0, maximum - domain.size->need);
        }
    }
    if (excess <= 0 || room <= 0) {
        return;
    }
    for (Domain &domain : domains) {
        if (!domain.isLost) {
            domain.size->need += std::max(0.0, maximum - domain.size->need) * std::min(1.0, excess / room);
        }
    }
}

/** Whole servers within the bounds. Servers that drain without having been replaced are ordered anew at once. */
unsigned boundedNeed(const Domain &domain, const catalog::ScalingSpec &scaling)
{
    const double need = std::clamp(domain.size->need - negligible, 0.0, static_cast<double>(scaling.maximum));
    const auto needed = static_cast<unsigned>(std::ceil(need));
    const unsigned missing = needed - std::min(needed, domain.load.ready);
    return std::clamp(needed + std::min(domain.load.draining, missing), scaling.minimum, scaling.maximum);
}

void updateWanted(const FleetSizeOptions &options, DomainSize &domain, unsigned needed, bool mayLower, TimePoint now)
{
    if (needed >= domain.wanted || !mayLower) {
        domain.wanted = std::max(domain.wanted, needed);
        domain.lowerSince.reset();
        return;
    }
    if (!domain.lowerSince) {
        domain.lowerSince = now;
        domain.mostNeeded = 0;
    }
    domain.mostNeeded = std::max(domain.mostNeeded, needed);
    if (now - *domain.lowerSince >= options.lowerDelay) {
        const auto part = static_cast<unsigned>(domain.wanted * options.lowerStep);
        const unsigned step = std::max(1U, part);
        if (domain.wanted - domain.mostNeeded > part) { // less than that is noise, and would be ordered again soon
            domain.wanted -= step;
        }
        domain.lowerSince.reset();
    }
}

/** The previous holder of the duty may have ordered servers that still boot. Until they must be there, the number in force is not known. */
bool isWarmingUp(const FleetSize &size, const catalog::ScalingSpec &scaling, TimePoint now)
{
    return now - *size.startedAt < std::max(scaling.bootTime + size.options.lead, size.options.lowerDelay);
}

/**
 * Whether the wanted number is known well enough to order it. A failure domain that has shown no server, unlike others, may be cut off; an order
 * would take away the servers that the previous holder wanted there.
 */
bool isOrderable(const Domain &domain, bool isNew, bool hasServers)
{
    if (hasServers && !domain.size->hasBeenReady) {
        return false;
    }
    return !isNew || domain.size->need > domain.load.ready;
}

} // namespace

std::vector<DomainTarget> update(FleetSize &size, const ServiceLoad &load, TimePoint now)
{
    if (!size.startedAt) {
        size.startedAt = now;
    }
    const Duration elapsed = std::max(Duration::zero(), now - size.updatedAt);
    size.updatedAt = now;
    std::vector<Domain> domains = joinDomains(size, load);
    bool hasLost = false;
    bool hasServers = false;
    for (Domain &domain : domains) {
        updateAverages(size.options, *domain.size, domain.load.calls, load.isComplete, elapsed);
        hasLost = hasLost || domain.isLost;
        hasServers = hasServers || domain.size->hasBeenReady;
    }
    const std::vector<double> calls = predictedCalls(size.options, domains, load.scaling.bootTime);
    const double usable = std::max(1.0, load.slots) * size.options.highestUse; // slots of a server
    for (std::size_t i = 0; i < domains.size(); ++i) {
        domains[i].size->need = (calls[i] + reserve(domains, domains[i], calls)) / usable;
    }
    spreadExcess(domains, load.scaling.maximum);
    const bool isNew = isWarmingUp(size, load.scaling, now);
    const bool mayLower = load.isComplete && !hasLost && !isNew;
    std::vector<DomainTarget> targets;
    for (Domain &domain : domains) {
        DomainSize &known = *domain.size;
        if (isNew) {
            known.wanted = std::max(known.wanted, domain.load.ready);
        }
        updateWanted(size.options, known, boundedNeed(domain, load.scaling), mayLower, now);
        known.wanted = std::clamp(known.wanted, load.scaling.minimum, load.scaling.maximum);
        if (isOrderable(domain, isNew, hasServers)) {
            targets.push_back({domain.load.domain, known.wanted});
        }
    }
    return targets;
}

} // namespace mimosahollow::fleetsize
