#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <random>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace benchmark {

/** One of the deployments of docs/design.md section 1. */
struct Deployment
{
    const char *name;
    std::uint32_t domains;
    std::uint32_t servers;
    double loadsPerSecond; /**< Of the weight store. */
    double callsPerSecond; /**< Of all organisations; a bit over half of what the servers can generate. */
};

inline constexpr Deployment deployments[] = {
    {"department", 3, 12, 4, 14},
    {"co-operative", 4, 9, 3, 10},
};

inline constexpr std::uint32_t organisationCount = 5;
inline constexpr std::uint32_t adapterCount = 3000;
inline constexpr std::uint32_t adapterSlots = 8;
inline constexpr double organisationShares[organisationCount] = {0.35, 0.35, 0.12, 0.10, 0.08}; // two are large

/** What is sent in a run. */
struct Traffic
{
    double seconds = 300;
    double shiftAt = 1e9; /**< A third of the popular adapters of each organisation is replaced. */
    double factor = 1; /**< Of all rates. */
    std::uint32_t flooding = 0; /**< Organisation that sends floodFactor times its rate; 0: none. */
    double floodFactor = 5;
    std::uint32_t only = 0; /**< The only organisation that sends; 0: all. */
};

struct Call
{
    double arrival = 0;
    double deadline = 0;
    std::uint32_t organisation = 0;
    std::uint32_t adapter = 0;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
};

/** Popularity of the adapters of one organisation: Zipf with exponent 1.5 over a shuffled order. */
class AdapterPopularity
{
public:
    AdapterPopularity(std::uint32_t first, std::uint32_t count, std::mt19937_64 &random) : m_adapters(count)
    {
        double sum = 0;
        for (std::uint32_t rank = 0; rank < count; ++rank) {
            m_adapters[rank] = first + rank;
            sum += std::pow(rank + 1, -1.5);
            m_cumulative.push_back(sum);
        }
        std::shuffle(m_adapters.begin(), m_adapters.end(), random);
    }

    std::uint32_t draw(std::mt19937_64 &random) const
    {
        const double value = std::uniform_real_distribution<double>(0, m_cumulative.back())(random);
        const auto found = std::lower_bound(m_cumulative.begin(), m_cumulative.end(), value);
        return m_adapters[std::min<std::size_t>(m_adapters.size() - 1, static_cast<std::size_t>(found - m_cumulative.begin()))];
    }

    void shift(std::mt19937_64 &random)
    {
        for (std::size_t rank = 0; rank < std::min<std::size_t>(60, m_adapters.size()); rank += 3) {
            std::swap(m_adapters[rank], m_adapters[random() % m_adapters.size()]);
        }
    }

private:
    std::vector<std::uint32_t> m_adapters;
    std::vector<double> m_cumulative;
};

/** Calls in order of arrival. An organisation sends the same calls in every run of a seed in which its rate is the same. */
inline std::vector<Call> makeCalls(const Deployment &deployment, const Traffic &traffic, std::uint64_t seed)
{
    std::vector<Call> calls;
    std::uint32_t firstAdapter = 1;
    for (std::uint32_t organisation = 1; organisation <= organisationCount; ++organisation) {
        std::mt19937_64 random(seed * 1000 + organisation);
        const double share = organisationShares[organisation - 1];
        const auto owned = static_cast<std::uint32_t>(adapterCount * share);
        AdapterPopularity popularity(firstAdapter, owned, random);
        firstAdapter += owned;
        if (traffic.only != 0 && traffic.only != organisation) {
            continue;
        }
        const double rate = deployment.callsPerSecond * share * traffic.factor * (organisation == traffic.flooding ? traffic.floodFactor : 1);
        std::exponential_distribution<double> gap(rate);
        std::lognormal_distribution<double> output(5.0, 0.7); // mean about 190 tokens
        std::lognormal_distribution<double> prompt(5.4, 0.7); // mean about 280 tokens
        bool shifted = false;
        for (double now = gap(random); now < traffic.seconds; now += gap(random)) {
            if (!shifted && now >= traffic.shiftAt) {
                popularity.shift(random);
                shifted = true;
            }
            Call call;
            call.arrival = now;
            call.organisation = organisation;
            call.adapter = popularity.draw(random);
            call.promptTokens = static_cast<std::uint32_t>(std::min(4000.0, 1 + prompt(random)));
            call.outputTokens = static_cast<std::uint32_t>(std::min(1000.0, 1 + output(random)));
            // 55 ms between tokens is the bound of docs/design.md section 3; 2 s for the first token.
            call.deadline = now + 2 + 0.055 * call.outputTokens;
            calls.push_back(call);
        }
    }
    std::sort(calls.begin(), calls.end(), [](const Call &left, const Call &right) {
        return left.arrival < right.arrival;
    });
    return calls;
}

/** Which calls find their adapter missing when all slots of the fleet are one and Belady's rule evicts. */
inline std::vector<bool> clairvoyantMisses(const std::vector<Call> &calls, std::size_t slots)
{
    std::vector<std::size_t> nextUse(calls.size(), calls.size());
    std::unordered_map<std::uint32_t, std::size_t> next;
    for (std::size_t i = calls.size(); i-- > 0;) {
        const auto found = next.find(calls[i].adapter);
        nextUse[i] = found == next.end() ? calls.size() + calls[i].adapter : found->second; // distinct when never used again
        next[calls[i].adapter] = i;
    }
    std::set<std::pair<std::size_t, std::uint32_t>> resident;
    std::vector<bool> misses(calls.size(), false);
    for (std::size_t i = 0; i < calls.size(); ++i) {
        misses[i] = resident.erase({i, calls[i].adapter}) == 0;
        if (misses[i] && resident.size() >= slots) {
            resident.erase(std::prev(resident.end()));
        }
        resident.insert({nextUse[i], calls[i].adapter});
    }
    return misses;
}

} // namespace benchmark
