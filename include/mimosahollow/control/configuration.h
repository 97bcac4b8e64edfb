#pragma once

#include "mimosahollow/control/adapter.h"
#include "mimosahollow/control/apikey.h"
#include "mimosahollow/control/backendserver.h"
#include "mimosahollow/control/chunkedlist.h"
#include "mimosahollow/control/failuredomain.h"
#include "mimosahollow/control/fleet.h"
#include "mimosahollow/control/organisation.h"
#include "mimosahollow/control/route.h"
#include "mimosahollow/core/ids.h"

#include <string>
#include <vector>

namespace mimosahollow::control {

/** The configuration in force. Instances share it read-only; a change makes a new one. */
struct Configuration
{
    Version version = 0; /**< Of the bundle in force. */
    Version logIndex = 0; /**< Last entry of the log that changed the configuration; 0 for one that comes from a file. */
    std::vector<std::string> baseModels;
    std::vector<FailureDomain> domains;
    std::vector<Organisation> organisations;
    std::vector<ApiKey> keys;
    ChunkedList<Adapter> adapters;
    std::vector<Route> routes;
    std::vector<BackendServer> servers;
    std::vector<Pool> pools; /**< In the order of their ids. */
    std::vector<BucketOwner> bucketOwners; /**< In the order of their failure domains. */
    std::vector<Instance> instances; /**< In the order of their ids. */
    double loadRate = 4; /**< Loads per second that the weight store allows, fleet-wide. */
    std::uint32_t loadsInFlight = 8; /**< Loads at one time before they slow down, fleet-wide. */
};

} // namespace mimosahollow::control
