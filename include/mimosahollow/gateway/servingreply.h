#pragma once

#include "mimosahollow/core/ids.h"
#include "mimosahollow/core/refusal.h"
#include "mimosahollow/core/time.h"

#include <cstdint>
#include <string>
#include <variant>

namespace mimosahollow::gateway {

/** The call may be sent to one backend server. */
struct ServingGrant
{
    std::uint64_t grant = 0;
    std::string address; /**< "IP:port" of the backend server. */
    std::string adapter; /**< "name@version"; empty for plain services and the bare base model. */
    std::string served; /**< "base:name@version" for the answer. */
    FencingNumber fencing = 0;
    TimePoint deadline{};
    bool repeatable = false;
    bool isLimited = false; /**< The backend server has named a limit. */
};

/** The call is refused. */
struct ServingRefusal
{
    RefusalReason reason{};
    CallOutcome outcome = CallOutcome::NotRun;
    Duration retryAfter{}; /**< 0: no advice. */
};

/** The stored answer of an earlier call with the same idempotency key. */
struct StoredAnswer
{
    unsigned status = 0;
    std::string contentType;
    std::string body;
};

/** Reply of the dispatch thread to one ServingRequest, or to a failed attempt of it. */
struct ServingReply
{
    RequestId id;
    std::variant<ServingGrant, ServingRefusal, StoredAnswer> content;
};

} // namespace mimosahollow::gateway
