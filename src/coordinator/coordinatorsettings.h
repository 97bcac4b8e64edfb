#pragma once

#include "coordinator/dutysettings.h"
#include "mimosahollow/allowance/ratelimiter.h"
#include "mimosahollow/control/consensusstate.h"
#include "mimosahollow/core/time.h"
#include "mimosahollow/placement/placementstate.h"
#include "mimosahollow/registry/serverregistry.h"
#include "mimosahollow/voterplan/voterplan.h"

#include <string>
#include <vector>

namespace mimosahollow::coordinator {

/** Timing of the replicated log. The intervals are long because each wake-up costs CPU time, and a machine may have only a fraction of a core. */
inline control::ConsensusOptions consensusDefaults()
{
    control::ConsensusOptions options;
    options.electionTimeoutMinimum = milliseconds(500);
    options.electionTimeoutMaximum = milliseconds(900);
    options.heartbeatInterval = milliseconds(100);
    return options;
}

struct CoordinatorSettings
{
    std::string name;
    std::string domain;
    std::string linkAddress; /**< Address on which other instances connect. */
    std::vector<std::string> seeds; /**< Link addresses of coordinators; may be out of date. */
    bool bootstrapsFleet = false; /**< First start of the whole fleet: the seeds are its initial voters. */
    std::string dataFolder;
    Duration changeTimeout = milliseconds(1500); /**< To commit a change; callers resend after less than 4 s. */
    Duration readTimeout = milliseconds(700); /**< For a linearizable read; callers give up after 1 s. */
    /**
     * A leader sends orders to engines only while a majority has answered it within this time. Followers start an election after
     * 500 ms without a heartbeat at the earliest, so the last order of a leader precedes the term of the next one.
     */
    Duration majorityContactTimeout = milliseconds(350);
    /** Upper limit of the random delay before a voter that knows of no leader starts an election. A round of votes takes 3 to 25 ms. */
    Duration electionSpread = milliseconds(150);
    /** Interval of order credits to the leader. Three intervals fit into OrderSlotOptions::contactTimeout, after which a coordinator gets no orders. */
    Duration creditInterval = milliseconds(200);
    /** For an order sent through another coordinator; covers the wait for the engine's answer and two network hops. */
    Duration orderTimeout = milliseconds(260);
    Duration minimumTakeoverDelay = milliseconds(150); /**< Minimum wait before grants start; entry instances connect to a new leader within this time. */
    Duration tickInterval = milliseconds(25); /**< A quarter of a heartbeat. */
    control::ConsensusOptions consensus = consensusDefaults();
    registry::RegistryOptions registry;
    allowance::RateLimiterOptions rateLimiter;
    placement::PlacementOptions placement;
    placement::OrderSlotOptions orderSlots;
    voterplan::VoterPlanOptions voterPlan;
    DutySettings duties;
};

} // namespace mimosahollow::coordinator
