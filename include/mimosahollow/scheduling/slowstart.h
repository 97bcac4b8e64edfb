#pragma once

#include <cstdint>

namespace mimosahollow::scheduling {

/** Limit of concurrent requests of one server; doubles from the cold limit with good responses (P7). */
struct SlowStart
{
    std::uint32_t limit = 1;
    std::uint32_t coldLimit = 1;
    std::uint32_t warmLimit = 1;
    std::uint32_t goodResponses = 0; /**< Completed responses without excess latency since the last change of the limit. */
    std::uint32_t epoch = 0; /**< Number of resets. Responses to grants of an earlier epoch are ignored. */
    double baselineSeconds = 0; /**< First-token latency of the warm server, normalised by prompt length; 0: unknown. */
};

/** Lowers the limit to the cold limit and starts a new epoch. */
void resetSlowStart(SlowStart &state) noexcept;

/** Records a completed response. @p latency: time to the first token in seconds; 0: unknown. */
void recordResponse(SlowStart &state, double latency, std::uint32_t promptTokens) noexcept;

} // namespace mimosahollow::scheduling
