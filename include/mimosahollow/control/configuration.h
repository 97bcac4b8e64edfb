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

/** The configuration in force. Shared read-only between threads; every change creates a new object. */
struct Configuration
{
    Version version = 0; /**< Version of the bundle in force. */
    Version logIndex = 0; /**< Index of the last log entry that changed the configuration; 0 when it was read from a file. */
    std::vector<std::string> baseModels;
    std::vector<FailureDomain> domains;
    std::vector<Organisation> organisations;
    std::vector<ApiKey> keys;
    ChunkedList<Adapter> adapters;
    std::vector<Route> routes;
    std::vector<BackendServer> servers;
    std::vector<Pool> pools; /**< Sorted by id. */
    std::vector<BucketOwner> bucketOwners; /**< Sorted by failure domain. */
    std::vector<Instance> instances; /**< Sorted by id. */
    double loadRate = 4; /**< Adapter loads per second that the weight store supports, fleet-wide. */
    std::uint32_t loadsInFlight = 8; /**< Concurrent adapter loads that the weight store supports without slowing down, fleet-wide. */
};

} // namespace mimosahollow::control
