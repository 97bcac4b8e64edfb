#pragma once

#include "mimosahollow/core/ids.h"

#include <cstdint>
#include <vector>

namespace mimosahollow::scheduling {

enum class ServiceState : std::uint8_t {
    InService,
    Out, /**< Gets nothing new; an operator took it out. */
    Leaving, /**< Gets nothing new; running requests finish. */
};

struct DeclaredServer
{
    ServerId server{};
    ServiceState state{};
};

/** What the configuration in force says about the pool. Servers that are not listed get no work. */
struct PoolDeclaration
{
    ServiceState domainState{};
    std::vector<DeclaredServer> servers;
};

} // namespace mimosahollow::scheduling
