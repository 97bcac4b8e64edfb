#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace mimosahollow::hedging {

/** Why no second copy of a call is sent now. */
enum class Exclusion : std::uint8_t {
    None, /**< It may be sent. */
    Disabled, /**< The share is 0. */
    NotRepeatable, /**< The route doesn't allow that the call runs twice. */
    AnswerBegan, /**< The caller has received a first byte. */
    AttemptsUsed, /**< Another attempt would exceed the limit of the route. */
    SuspectedPart, /**< The request or a part of its prompt may be what ends backend servers. */
    FewSamples, /**< The usual time of the route and service is not known. */
    TooEarly, /**< The call has not taken longer than usual yet. */
    TooLate, /**< A copy is not expected to be answered before the deadline. */
    LeaderLost, /**< Limits of the whole fleet can't be kept without a leader. */
    CallsWait, /**< Other calls of the service wait for a backend server. */
    ShareUsed, /**< The share of calls, or the copies' part of the retry budget, is used up. */
    RetryBudgetUsed,
    NoServer, /**< No other backend server can take the call at once. */
};

inline constexpr std::size_t exclusionCount = static_cast<std::size_t>(Exclusion::NoServer) + 1;

[[nodiscard]] std::string_view toString(Exclusion exclusion) noexcept;

} // namespace mimosahollow::hedging
