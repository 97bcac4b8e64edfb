#pragma once

#include "mimosahollow/core/ids.h"

#include <cstdint>
#include <vector>

namespace mimosahollow::scheduling {

enum class ServiceState : std::uint8_t {
    InService,
    Out, /**< Taken out by an operator; gets no new work. */
    Leaving, /**< Draining: gets no new work, running requests finish. */
};

struct DeclaredServer
{
    ServerId server{};
    ServiceState state{};
};

/** Servers and service states of a pool in the active configuration. Servers that are not listed get no work. */
struct PoolDeclaration
{
    ServiceState domainState{}; /**< Of the failure domain of the pool. */
    std::vector<DeclaredServer> servers;
};

} // namespace mimosahollow::scheduling
