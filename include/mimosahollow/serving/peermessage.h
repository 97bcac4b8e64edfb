#pragma once

#include "mimosahollow/admission/tokenmessages.h"
#include "mimosahollow/core/ids.h"
#include "mimosahollow/scheduling/actions.h"
#include "mimosahollow/scheduling/grantreport.h"
#include "mimosahollow/scheduling/poolsummary.h"
#include "mimosahollow/scheduling/release.h"
#include "mimosahollow/scheduling/request.h"
#include "mimosahollow/scheduling/serverevents.h"

#include <variant>

namespace mimosahollow::serving
{

/** The entry instance no longer waits for an answer to its AcquireRequest. */
struct CancelRequest
{
    RequestId id;
};

using PoolMessageBody = std::variant<scheduling::AcquireRequest,
                                     CancelRequest,
                                     scheduling::Grant,
                                     scheduling::Refusal,
                                     scheduling::Release,
                                     scheduling::GrantReport,
                                     scheduling::PoolSummary,
                                     scheduling::ServerAnnouncement,
                                     scheduling::ServerReport>;

/** Message about one pool, to its owner or from it. */
struct PoolMessage
{
    PoolId pool{};
    PoolMessageBody body;
};

/** What the serving parts of instances send to each other. */
using PeerMessage = std::variant<PoolMessage, admission::TokenRequest, admission::TokenReport, admission::TokenGrant>;

} // namespace mimosahollow::serving
