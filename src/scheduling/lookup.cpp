#include "lookup.h"

#include <cmath>

namespace mimosahollow::scheduling {

namespace {

// The unit of popularity grows with time. A double holds up to 2^1023; rescaling once the unit exceeds 2^256 leaves ample headroom
// for sums.
constexpr double largestExponent = 256;

template<typename Element>
Element &grownElement(std::vector<Element> &table, std::size_t position)
{
    if (position >= table.size()) {
        table.resize(position + 1);
    }
    return table[position];
}

} // namespace

PoolState makePool(PoolId pool, const SchedulingSettings &settings, TimePoint now)
{
    PoolState state;
    state.pool = pool;
    state.settings = settings;
    state.servers.reserve(settings.expectedServers);
    state.adapters.resize(settings.expectedAdapters + 1); // index 0 stands for "none"
    state.records.reserve(settings.expectedRequests);
    state.index.reserve(settings.expectedRequests);
    state.waitingAdapters.reserve(settings.expectedRequests);
    state.randomState = settings.seed;
    state.popularityOrigin = now;
    state.ownedSince = now;
    return state;
}

std::uint32_t findServer(const PoolState &state, ServerId id) noexcept
{
    return number(id) < state.serverIndexes.size() ? state.serverIndexes[number(id)] : noIndex;
}

std::uint32_t addServer(PoolState &state, ServerId id)
{
    if (number(id) >= state.serverIndexes.size()) {
        state.serverIndexes.resize(number(id) + 1, noIndex);
    }
    std::uint32_t &position = state.serverIndexes[number(id)];
    if (position == noIndex) {
        position = static_cast<std::uint32_t>(state.servers.size());
        state.servers.emplace_back().id = id;
    }
    return position;
}

AdapterState &adapterState(PoolState &state, AdapterId id)
{
    return grownElement(state.adapters, number(id));
}

OrganisationState &organisationState(PoolState &state, OrganisationId id)
{
    return grownElement(state.organisations, number(id));
}

std::uint64_t nextRandom(PoolState &state) noexcept
{
    std::uint64_t mixed = state.randomState += 0x9E3779B97F4A7C15ULL;
    mixed = (mixed ^ (mixed >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94D049BB133111EBULL;
    return mixed ^ (mixed >> 31U);
}

double popularityUnit(const PoolState &state, TimePoint now) noexcept
{
    return std::exp2(toSeconds(now - state.popularityOrigin) / toSeconds(state.settings.popularityHalfLife));
}

void recordDemand(PoolState &state, AdapterId adapter, TimePoint now)
{
    double unit = popularityUnit(state, now);
    if (unit > std::exp2(largestExponent)) {
        for (AdapterState &known : state.adapters) {
            known.popularity /= unit;
        }
        state.popularityOrigin = now;
        unit = 1;
    }
    adapterState(state, adapter).popularity += unit;
}

} // namespace mimosahollow::scheduling
