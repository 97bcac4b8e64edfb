#pragma once

#include "mimosahollow/core/time.h"
#include "mimosahollow/fleetlink/linkmessage.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace mimosahollow::serverpace {

struct PaceOptions
{
    Duration timeConstant = seconds(1); /**< Over which new samples replace earlier ones. */
    Duration quietTime = milliseconds(500); /**< Without samples for longer, an estimate returns to 1 faster; three reports of an entry instance. */
    Duration quietTimeConstant = milliseconds(500); /**< Of that return: a server at 6 is back in the band after 2 to 3 s. */
    /**
     * Samples at the median that each estimate contains. With fewer, a pause of 100 ms in the only stream of a server takes it out of the band; with more,
     * a server that has turned slow is noticed later.
     */
    double priorSamples = 8;
    double leastSamples = 4; /**< A server with fewer does not count for the median. */
    double steadySamples = 500; /**< Over which the steady pace follows the samples: those of about ten streams. */
    double slowLimit = 1.25; /**< Above, a pace is published. */
    double fastLimit = 0.8; /**< Below, a pace is published. */
    double slowReturn = 1.15; /**< A slow server is back in the band below; the gap keeps one at the limit from alternating. */
    double fastReturn = 0.87; /**< A fast server is back in the band above. */
};

enum class PaceClass : std::uint8_t {
    Usual,
    Slow,
    Fast,
};

[[nodiscard]] std::string_view toString(PaceClass paceClass) noexcept;

/** Samples of one backend server, earlier ones with less weight, and what follows from them. */
struct ServerEstimate
{
    double milliseconds = 0; /**< At @c updatedAt. */
    double count = 0; /**< At @c updatedAt. */
    TimePoint updatedAt{};
    TimePoint sampledAt{}; /**< Newest sample. */
    std::uint64_t updatedIn = 0; /**< Newest update of the table that had the server. */
    double relative = 1; /**< Time that work takes here, 1 for the median of the service. */
    PaceClass paceClass = PaceClass::Usual;
    double steadyMilliseconds = 0; /**< Mean of the newest samples, however old they are. */
    double steadyCount = 0; /**< Samples since the first one. */
    double steady = 1; /**< Like @c relative, from steadyMilliseconds. */
};

/** The leader's estimates, by registry::serverKey(). */
struct PaceTable
{
    PaceOptions options;
    std::unordered_map<std::uint32_t, ServerEstimate> servers;
    std::uint64_t updates = 0;
};

/** A backend server in use. */
struct PacedServer
{
    std::uint32_t serverKey = 0;
    std::string_view id;
    std::string_view service;
};

/** A backend server that has left or entered the band around 1. */
struct PaceChange
{
    std::string_view id;
    std::string_view service;
    double relative = 1;
    PaceClass paceClass = PaceClass::Usual;
};

/** Takes samples of an entry instance; invalid ones are dropped. */
void recordSamples(PaceTable &table, std::span<const fleetlink::ServerPaceSample> samples, TimePoint now);

/** Computes the relative paces and forgets all servers that are not among @p servers. */
std::vector<PaceChange> updatePaces(PaceTable &table, std::span<const PacedServer> servers, TimePoint now);

/** Pace of a backend server as of the last update; 1 if it is usual or not known. */
[[nodiscard]] double relativePace(const PaceTable &table, std::uint32_t serverKey);

/**
 * Pace of the machine of a backend server, for what lasts longer than a few calls; 1 if it is usual or not known. Unlike relativePace(), it does
 * not return to 1 without samples.
 */
[[nodiscard]] double steadyPace(const PaceTable &table, std::uint32_t serverKey);

/** The paces outside the band, for the load digest. */
[[nodiscard]] std::vector<fleetlink::ServerPace> publishedPaces(const PaceTable &table);

/** Number of backend servers of @p paceClass. */
[[nodiscard]] std::size_t countServers(const PaceTable &table, PaceClass paceClass);

} // namespace mimosahollow::serverpace
