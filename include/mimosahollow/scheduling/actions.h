#pragma once

#include "mimosahollow/core/ids.h"
#include "mimosahollow/core/refusal.h"
#include "mimosahollow/core/time.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace mimosahollow::scheduling {

/** Permits the entry instance to run the request on the server until the deadline of the request. */
struct Grant
{
    RequestId id;
    InstanceId entry{};
    std::uint64_t grant = 0; /**< Number that Release::grant repeats. */
    FencingNumber fencing = 0;
    ServerId server{};
    AdapterId adapter{};
    bool isLimited = false; /**< The server has named a limit; the entry instance reports the end of it too. */

    friend bool operator==(const Grant &, const Grant &) = default;
};

/** Tells the entry instance that the request was not run. */
struct Refusal
{
    RequestId id;
    InstanceId entry{};
    RefusalReason reason{};
    Duration retryAfter{}; /**< Time after which a retry may succeed; 0: none. */

    friend bool operator==(const Refusal &, const Refusal &) = default;
};

enum class OrderKind : std::uint8_t {
    Load,
    Unload,
};

/** Load or unload of an adapter that a backend server has to carry out. */
struct Order
{
    std::uint64_t order = 0; /**< Passed to orderFinished() with the result. */
    OrderKind kind{};
    ServerId server{};
    AdapterId adapter{};
    FencingNumber fencing = 0;
    Duration timeout{};
};

enum class DecisionReason : std::uint8_t {
    LeastLoaded,
    PrefixAffinity,
    LoadOnDemand,
    LoadReplica,
    EvictLeastUseful,
    LimitNamed, /**< By the chosen server, or changed. */
    LimitEnded,
    Refused,
};

/** Content of one decision log line. */
struct DecisionRecord
{
    RequestId request; /**< Zero for loads and evictions that are not made for a single request. */
    OrganisationId organisation{};
    AdapterId adapter{};
    std::uint32_t candidates = 0;
    ServerId choice{}; /**< Chosen server; 0: none. */
    DecisionReason reason{};
    RefusalReason refusal{}; /**< Only valid with DecisionReason::Refused. */
};

using Action = std::variant<Grant, Refusal, Order, DecisionRecord>;
using Actions = std::vector<Action>;

} // namespace mimosahollow::scheduling
