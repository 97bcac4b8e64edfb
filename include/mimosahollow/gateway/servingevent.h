#pragma once

#include "mimosahollow/gateway/backendevents.h"
#include "mimosahollow/gateway/backendorder.h"
#include "mimosahollow/gateway/servingrequest.h"
#include "mimosahollow/gateway/servingresult.h"

#include <variant>

namespace mimosahollow::gateway {

/** What the gateway and the order sender push into the dispatch ring. */
using ServingEvent = std::variant<ServingRequest, ServingResult, BackendAnnouncement, BackendReport, BackendLimit, BackendOrderResult>;

} // namespace mimosahollow::gateway
