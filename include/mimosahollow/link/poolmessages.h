#pragma once

#include "mimosahollow/core/ids.h"
#include "mimosahollow/gateway/backendevents.h"
#include "mimosahollow/scheduling/actions.h"
#include "mimosahollow/scheduling/grantreport.h"
#include "mimosahollow/scheduling/limitstatement.h"
#include "mimosahollow/scheduling/poolsummary.h"
#include "mimosahollow/scheduling/release.h"
#include "mimosahollow/scheduling/request.h"

#include <variant>

namespace mimosahollow::link {

/** A request on its way to the owner of the pool. */
struct PoolAcquire
{
    PoolId pool{};
    scheduling::AcquireRequest request;

    friend bool operator==(const PoolAcquire &, const PoolAcquire &) = default;
};

/** The owner's answer. */
using PoolAcquireReply = std::variant<scheduling::Grant, scheduling::Refusal>;

struct PoolRelease
{
    PoolId pool{};
    scheduling::Release release;

    friend bool operator==(const PoolRelease &, const PoolRelease &) = default;
};

struct PoolGrantReport
{
    PoolId pool{};
    scheduling::GrantReport report;

    friend bool operator==(const PoolGrantReport &, const PoolGrantReport &) = default;
};

struct PoolLimitStatement
{
    PoolId pool{};
    scheduling::LimitStatement statement;

    friend bool operator==(const PoolLimitStatement &, const PoolLimitStatement &) = default;
};

/** Every message about a pool. Announcements and reports are passed on as the instance received them. */
using PoolMessage = std::variant<PoolAcquire,
                                 PoolAcquireReply,
                                 PoolRelease,
                                 PoolGrantReport,
                                 scheduling::PoolSummary,
                                 gateway::BackendAnnouncement,
                                 gateway::BackendReport,
                                 PoolLimitStatement>;

} // namespace mimosahollow::link
