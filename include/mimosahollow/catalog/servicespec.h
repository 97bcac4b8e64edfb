#pragma once

#include "mimosahollow/core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mimosahollow::catalog {

/** A base model that the engines of a service can load. */
struct BaseModelSpec
{
    std::string name;
    double weightsMb = 0;
    double adapterMb = 0; /**< Memory of one adapter. */
    Duration loadTime{}; /**< From the weight store. */
};

/** What the engines of a service hold. */
struct EngineSpec
{
    std::vector<BaseModelSpec> models;
    double memoryMb = 0; /**< For weights and adapters together. */
    unsigned adapterSlots = 0;
    double storeLoadsPerSecond = 0; /**< Weights that the store delivers to all engines together. */
};

/** Numbers of servers that the platform is asked for, in each failure domain. */
struct ScalingSpec
{
    unsigned minimum = 0;
    unsigned maximum = 0;
    Duration bootTime{}; /**< From the request for a server until it takes calls. */
};

/** Backend servers that can stand in for each other. */
struct ServiceSpec
{
    std::string name;
    unsigned maximumConnections = 0; /**< Per backend server, over all callers. */
    double coldCallsPerSecond = 0; /**< Rate that a cold backend server bears; 0: no limit. */
    std::optional<EngineSpec> engine; /**< Absent for a plain service. */
    std::optional<ScalingSpec> scaling = std::nullopt; /**< Absent: the number of servers is not changed. */
};

} // namespace mimosahollow::catalog
