#pragma once

#include "mimosahollow/core/ids.h"
#include "mimosahollow/core/time.h"

#include <cstdint>
#include <string>

namespace mimosahollow::gateway {

enum class OrderKind : std::uint8_t {
    Load,
    Unload,
    Cancel,
};

/** An order of a pool owner to one backend server. */
struct BackendOrder
{
    std::uint64_t order = 0; /**< Number that the result carries. */
    OrderKind kind{};
    std::string address; /**< "IP:port". */
    std::string adapter; /**< "name@version". */
    FencingNumber fencing = 0;
    Duration timeout = seconds(5);
};

enum class OrderOutcome : std::uint8_t {
    Done,
    Refused, /**< The server answered with another status; it did not carry out the order. */
    StaleFencing, /**< The server knows a newer owner. */
    NotSent, /**< The server could not be reached; no byte was sent. */
    Unknown, /**< No answer in time; the order may still take effect. */
};

struct BackendOrderResult
{
    std::uint64_t order = 0;
    OrderOutcome outcome{};
};

} // namespace mimosahollow::gateway
