#pragma once

#include "mimosahollow/allowance/tokenbank.h"
#include "mimosahollow/control/consensusstate.h"
#include "mimosahollow/core/time.h"
#include "mimosahollow/placement/placementstate.h"
#include "mimosahollow/registry/serverregistry.h"
#include "mimosahollow/voterplan/voterplan.h"

#include <string>
#include <vector>

namespace mimosahollow::coordinator {

/** Timing of the replicated log on machines with a part of a core, where a wake-up costs processor time. */
inline control::ConsensusOptions consensusDefaults()
{
    control::ConsensusOptions options;
    options.electionTimeoutMinimum = milliseconds(500);
    options.electionTimeoutMaximum = milliseconds(900);
    options.heartbeat = milliseconds(100);
    return options;
}

struct CoordinatorSettings
{
    std::string name;
    std::string domain;
    std::string linkAddress; /**< Where other instances connect. */
    std::vector<std::string> seeds; /**< Link addresses of coordinators; may be out of date. */
    bool bootstrapsFleet = false; /**< The whole fleet starts for the first time: the seeds are its first voters. */
    std::string dataFolder;
    Duration changeTimeout = milliseconds(1500); /**< For one change to be committed; callers resend after less than 4 s. */
    Duration readTimeout = milliseconds(700); /**< For a confirmed read; callers give up after 1 s. */
    /**
     * A leader orders engines only while a majority has answered it within this time. Followers elect another one after
     * 500 ms of silence at the earliest, so its last order lies before the next leader's first moment.
     */
    Duration majorityContactTimeout = milliseconds(350);
    /** Voters that know that there is no leader stand for election within this time; a round of votes takes 3 to 25 ms. */
    Duration electionSpread = milliseconds(150);
    Duration creditInterval = milliseconds(200); /**< Of telling the leader that orders can be sent; three fit into its limit. */
    Duration orderTimeout = milliseconds(500); /**< For an order by way of another coordinator: the time of an answer, and two hops. */
    Duration handoverMinimum = milliseconds(150); /**< Entry instances connect to a new leader within this time. */
    Duration tickInterval = milliseconds(25); /**< A quarter of a heartbeat. */
    control::ConsensusOptions consensus = consensusDefaults();
    registry::RegistryOptions registry;
    allowance::BankOptions bank;
    placement::PlacementOptions placement;
    placement::OrderSlotOptions orderSlots;
    voterplan::VoterPlanOptions voterPlan;
};

} // namespace mimosahollow::coordinator
