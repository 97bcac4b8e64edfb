#include "mimosahollow/scheduling/slowstart.h"

#include <algorithm>

namespace mimosahollow::scheduling {

namespace {

// Prompt length whose processing takes about as long as the fixed part of the first-token latency.
constexpr double referencePromptTokens = 512;
constexpr double goodFactor = 2; // good responses are below this multiple of the baseline; docs/design.md section 5
constexpr double coldFactor = 4; // above this multiple of the baseline the server is cold; docs/design.md section 5
// The baseline follows faster responses quickly and slower ones slowly: a server that turns cold cannot mask this by raising
// its own baseline, but a lasting change (another engine version) is adopted after some hundred responses.
constexpr double fallWeight = 0.25;
constexpr double riseWeight = 1.0 / 64;
// Seconds. Below this latency, scheduling noise of the host exceeds the factors above.
constexpr double smallestBaseline = 0.005;

/** Latency divided by the relative cost of the prompt, so that prompts of different lengths compare. */
double normalised(double latency, std::uint32_t promptTokens) noexcept
{
    return latency / (1 + static_cast<double>(promptTokens) / referencePromptTokens);
}

} // namespace

void resetSlowStart(SlowStart &state) noexcept
{
    state.limit = std::min(state.coldLimit, state.warmLimit);
    state.goodResponses = 0;
    ++state.epoch;
}

void recordResponse(SlowStart &state, double latency, std::uint32_t promptTokens) noexcept
{
    if (latency > 0) {
        const double measured = normalised(latency, promptTokens);
        const double baseline = state.baselineSeconds;
        if (baseline == 0) {
            state.baselineSeconds = std::max(measured, smallestBaseline);
        } else {
            const double bounded = std::min(measured, coldFactor * baseline);
            state.baselineSeconds = std::max(smallestBaseline, baseline + (bounded - baseline) * (bounded < baseline ? fallWeight : riseWeight));
            if (measured > coldFactor * baseline) {
                resetSlowStart(state);
                return;
            }
            if (measured >= goodFactor * baseline) {
                return;
            }
        }
    }
    if (state.limit >= state.warmLimit) {
        return;
    }
    ++state.goodResponses;
    if (state.goodResponses >= state.limit) {
        state.limit = std::min(state.limit * 2, state.warmLimit);
        state.goodResponses = 0;
    }
}

} // namespace mimosahollow::scheduling
