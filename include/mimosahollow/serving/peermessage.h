#pragma once

#include "mimosahollow/admission/tokenmessages.h"
#include "mimosahollow/admission/transfermessages.h"
#include "mimosahollow/core/ids.h"
#include "mimosahollow/gateway/backendevents.h"
#include "mimosahollow/scheduling/actions.h"
#include "mimosahollow/scheduling/grantreport.h"
#include "mimosahollow/scheduling/limitstatement.h"
#include "mimosahollow/scheduling/poolsummary.h"
#include "mimosahollow/scheduling/release.h"
#include "mimosahollow/scheduling/request.h"

#include <variant>

namespace mimosahollow::serving {

/** Withdraws an AcquireRequest: the entry instance no longer waits for a grant. */
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
                                     scheduling::LimitStatement,
                                     scheduling::PoolSummary>;

/** Message to or from the owner of a pool. */
struct PoolMessage
{
    PoolId pool{}; /**< 0 in a Grant or Refusal from another instance; the receiver takes the pool from its call. */
    PoolMessageBody body;
};

/** Message between the serving parts of two instances. Announcements and reports are sent to the owner of the server's pool. */
using PeerMessage = std::variant<PoolMessage,
                                 gateway::BackendAnnouncement,
                                 gateway::BackendReport,
                                 admission::TokenRequest,
                                 admission::TokenReport,
                                 admission::TokenGrant,
                                 admission::TransferRequest,
                                 admission::TransferReply>;

} // namespace mimosahollow::serving
