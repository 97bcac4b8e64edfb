#include "mimosahollow/serverpace/samplesums.h"

namespace mimosahollow::serverpace {

void addSample(SampleSums &sums, std::uint32_t serverKey, Duration total, unsigned count)
{
    if (count == 0) {
        return;
    }
    fleetlink::ServerPaceSample &sample = sums.servers[serverKey];
    sample.serverKey = serverKey;
    sample.milliseconds += toSeconds(total) * 1000;
    sample.count += count;
}

std::vector<fleetlink::ServerPaceSample> takeSamples(SampleSums &sums)
{
    std::vector<fleetlink::ServerPaceSample> taken;
    taken.reserve(sums.servers.size());
    for (const auto &[key, sample] : sums.servers) {
        taken.push_back(sample);
    }
    sums.servers.clear();
    return taken;
}

} // namespace mimosahollow::serverpace
