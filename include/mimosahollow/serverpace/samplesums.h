#pragma once

#include "mimosahollow/core/time.h"
#include "mimosahollow/fleetlink/linkmessage.h"

#include <cstdint>
#include <map>
#include <vector>

namespace mimosahollow::serverpace {

/** Samples of an entry instance since its last report, by the key of the backend server. */
struct SampleSums
{
    std::map<std::uint32_t, fleetlink::ServerPaceSample> servers;
};

void addSample(SampleSums &sums, std::uint32_t serverKey, Duration total, unsigned count);

/** Returns the samples for a report and begins anew. */
[[nodiscard]] std::vector<fleetlink::ServerPaceSample> takeSamples(SampleSums &sums);

} // namespace mimosahollow::serverpace
