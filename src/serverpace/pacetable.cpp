#include "mimosahollow/serverpace/pacetable.h"

#include "mimosahollow/serverpace/pacebounds.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace mimosahollow::serverpace {

namespace {

/** Lets the samples of @p server count less the older they are. */
void decay(ServerEstimate &server, const PaceOptions &options, TimePoint now)
{
    const TimePoint quietFrom = std::clamp(server.sampledAt + options.quietTime, server.updatedAt, std::max(server.updatedAt, now));
    const double usual = toSeconds(quietFrom - server.updatedAt) / toSeconds(options.timeConstant);
    const double quiet = std::max(0.0, toSeconds(now - quietFrom)) / toSeconds(options.quietTimeConstant);
    const double factor = std::exp(-usual - quiet);
    server.milliseconds *= factor;
    server.count *= factor;
    server.updatedAt = std::max(server.updatedAt, now);
}

/**
 * The lower one of the two in the middle, so that half of a small service may turn slow unnoticed by the others; the slower one of two servers, since
 * otherwise a false figure of one would make the other look slow.
 */
double median(std::vector<double> &values)
{
    const std::size_t position = std::min(values.size() - 1, std::max<std::size_t>(1, (values.size() - 1) / 2));
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(position);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

/** A backend server with an estimate. */
struct Estimated
{
    const PacedServer *server = nullptr;
    ServerEstimate *estimate = nullptr;
};

std::vector<Estimated> findEstimates(PaceTable &table, std::span<const PacedServer> servers)
{
    std::vector<Estimated> found;
    found.reserve(table.servers.size());
    for (const PacedServer &server : servers) {
        if (const auto estimate = table.servers.find(server.serverKey); estimate != table.servers.end()) {
            found.push_back({&server, &estimate->second});
        }
    }
    return found;
}

/** Medians of each service in milliseconds, of what @p mean returns for each estimate; it returns nothing for one with too few samples. */
template<typename Mean>
std::map<std::string_view, double> serviceMedians(std::span<const Estimated> estimates, Mean mean)
{
    std::map<std::string_view, std::vector<double>> means;
    for (const auto &[server, estimate] : estimates) {
        if (const std::optional<double> value = mean(*estimate)) {
            means[server->service].push_back(*value);
        }
    }
    std::map<std::string_view, double> medians;
    for (auto &[service, values] : means) {
        medians[service] = median(values);
    }
    return medians;
}

double relativeEstimate(const ServerEstimate &server, const PaceOptions &options, double median)
{
    return boundedPace((server.milliseconds / median + options.priorSamples) / (server.count + options.priorSamples));
}

PaceClass classOf(double relative, PaceClass before, const PaceOptions &options)
{
    const double slow = before == PaceClass::Slow ? options.slowReturn : options.slowLimit;
    const double fast = before == PaceClass::Fast ? options.fastReturn : options.fastLimit;
    if (relative > slow) {
        return PaceClass::Slow;
    }
    return relative < fast ? PaceClass::Fast : PaceClass::Usual;
}

} // namespace

std::string_view toString(PaceClass paceClass) noexcept
{
    switch (paceClass) {
    case PaceClass::Usual:
        return "usual";
    case PaceClass::Slow:
        return "slow";
    case PaceClass::Fast:
        return "fast";
    }
    return "unknown";
}

void recordSamples(PaceTable &table, std::span<const fleetlink::ServerPaceSample> samples, TimePoint now)
{
    for (const fleetlink::ServerPaceSample &sample : samples) {
        if (sample.count == 0 || !std::isfinite(sample.milliseconds) || sample.milliseconds < 0) {
            continue;
        }
        ServerEstimate &server = table.servers[sample.serverKey];
        if (server.updatedAt == TimePoint{}) {
            server.updatedAt = now;
            server.sampledAt = now;
        }
        decay(server, table.options, now);
        server.sampledAt = now;
        server.milliseconds += sample.milliseconds;
        server.count += sample.count;
        server.steadyCount += sample.count;
        const double weight = std::min(1.0, sample.count / std::min(server.steadyCount, table.options.steadySamples));
        server.steadyMilliseconds += (sample.milliseconds / sample.count - server.steadyMilliseconds) * weight;
    }
}

std::vector<PaceChange> updatePaces(PaceTable &table, std::span<const PacedServer> servers, TimePoint now)
{
    const std::vector<Estimated> estimates = findEstimates(table, servers);
    for (const auto &[server, estimate] : estimates) {
        decay(*estimate, table.options, now);
        estimate->updatedIn = table.updates + 1;
    }
    ++table.updates;
    std::erase_if(table.servers, [&table](const auto &item) {
        return item.second.updatedIn != table.updates;
    });
    const auto medians = serviceMedians(estimates, [&table](const ServerEstimate &estimate) {
        return estimate.count >= table.options.leastSamples ? std::optional(estimate.milliseconds / estimate.count) : std::nullopt;
    });
    const auto steadyMedians = serviceMedians(estimates, [&table](const ServerEstimate &estimate) {
        return estimate.steadyCount >= table.options.leastSamples ? std::optional(estimate.steadyMilliseconds) : std::nullopt;
    });
    std::vector<PaceChange> changes;
    for (const auto &[server, estimate] : estimates) {
        const auto median = medians.find(server->service);
        const bool isKnown = median != medians.end() && median->second > 0;
        estimate->relative = isKnown ? relativeEstimate(*estimate, table.options, median->second) : 1;
        const auto steadyMedian = steadyMedians.find(server->service);
        const bool isSteadyKnown = steadyMedian != steadyMedians.end() && steadyMedian->second > 0 && estimate->steadyCount >= table.options.leastSamples;
        estimate->steady = isSteadyKnown ? boundedPace(estimate->steadyMilliseconds / steadyMedian->second) : 1;
        const PaceClass paceClass = classOf(estimate->relative, estimate->paceClass, table.options);
        if (paceClass != estimate->paceClass) {
            estimate->paceClass = paceClass;
            changes.push_back({server->id, server->service, estimate->relative, paceClass});
        }
    }
    return changes;
}

double relativePace(const PaceTable &table, std::uint32_t serverKey)
{
    const auto found = table.servers.find(serverKey);
    return found == table.servers.end() || found->second.paceClass == PaceClass::Usual ? 1 : found->second.relative;
}

double steadyPace(const PaceTable &table, std::uint32_t serverKey)
{
    const auto found = table.servers.find(serverKey);
    const double pace = found == table.servers.end() ? 1 : found->second.steady;
    return pace > table.options.slowLimit || pace < table.options.fastLimit ? pace : 1;
}

std::vector<fleetlink::ServerPace> publishedPaces(const PaceTable &table)
{
    std::vector<fleetlink::ServerPace> paces;
    for (const auto &[key, server] : table.servers) {
        if (server.paceClass != PaceClass::Usual) {
            paces.push_back({key, static_cast<std::uint16_t>(std::lround(server.relative * 100))});
        }
    }
    return paces;
}

std::size_t countServers(const PaceTable &table, PaceClass paceClass)
{
    return static_cast<std::size_t>(std::count_if(table.servers.begin(), table.servers.end(), [paceClass](const auto &item) {
        return item.second.paceClass == paceClass;
    }));
}

} // namespace mimosahollow::serverpace
