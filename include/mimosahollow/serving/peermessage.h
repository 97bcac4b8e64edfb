#pragma once

#include "mimosahollow/admission/tokenmessages.h"
#include "mimosahollow/admission/transfermessages.h"
#include "mimosahollow/core/ids.h"
#include "mimosahollow/gateway/backendevents.h"
#include "mimosahollow/scheduling/actions.h"
#include "mimosahollow/scheduling/grantreport.h"
#include "mimosahollow/scheduling/poolsummary.h"
#include "mimosahollow/scheduling/release.h"
#include "mimosahollow/scheduling/request.h"

#include <variant>

namespace mimosahollow::serving {

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
                                     scheduling::PoolSummary>;

/** Message about one pool, to its owner or from it. */
struct PoolMessage
{
    PoolId pool{}; /**< 0 in a Grant or Refusal from another instance; the call tells the pool. */
    PoolMessageBody body;
};

/** What the serving parts of instances send to each other. Announcements and reports go to the owner of the server's pool. */
using PeerMessage = std::variant<PoolMessage,
                                 gateway::BackendAnnouncement,
                                 gateway::BackendReport,
                                 admission::TokenRequest,
                                 admission::TokenReport,
                                 admission::TokenGrant,
                                 admission::TransferRequest,
                                 admission::TransferReply>;

} // namespace mimosahollow::serving
