#pragma once

#include <cstdint>

namespace mimosahollow::scheduling {

/** Limit of concurrent requests of one server, which grows with good answers (P7). */
struct SlowStart
{
    std::uint32_t limit = 1;
    std::uint32_t coldLimit = 1;
    std::uint32_t warmLimit = 1;
    std::uint32_t goodResponses = 0; /**< Since the last change of the limit. */
    std::uint32_t epoch = 0; /**< Counts resets. Answers to grants of an earlier epoch say nothing about the present one. */
    double baselineSeconds = 0; /**< First token latency of the warm server in seconds for the reference prompt; 0: not known. */
};

/** Returns to the cold limit at once. */
void resetSlowStart(SlowStart &state) noexcept;

/** Records a completed answer. @p latency is in seconds, 0 when it is not known. */
void recordResponse(SlowStart &state, double latency, std::uint32_t promptTokens) noexcept;

} // namespace mimosahollow::scheduling
