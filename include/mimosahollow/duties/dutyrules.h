#pragma once

#include "mimosahollow/core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mimosahollow::duties {

/** Names of the duties in the replicated state. */
inline constexpr std::string_view usageDuty = "usage";
inline constexpr std::string_view scalingDuty = "scaling";

/** When a new leader takes a duty. */
struct TakeoverTimes
{
    Duration delay = milliseconds(3100); /**< After the begin of its leadership: the platform's lease and a margin. */
    /**
     * In addition for the coordinator that held the duty before the present holder, which may begin a call for 350 ms after it has lost the
     * leadership and waits 2 s for its answer. Without it, the duty may return within a lease after a call of the holder in between.
     */
    Duration returnDelay = milliseconds(2400);
};

/**
 * Whether a leader takes a duty of @p holder, which is empty before the first one, and which followed @p previous. @p ledFor is the time since the
 * leader has applied an entry of its own term, so that all holders before it are known to it.
 */
[[nodiscard]] bool mayTake(std::string_view holder, std::string_view previous, std::string_view self, Duration ledFor, const TakeoverTimes &times);

/**
 * Whether @p self may make a call of a duty at boot time @p boot. A majority has confirmed that it leads in a round that began at boot time
 * @p confirmed, both in milliseconds.
 */
[[nodiscard]] bool mayAct(std::string_view holder, std::string_view self, std::optional<std::int64_t> confirmed, std::int64_t boot, Duration timeout);

} // namespace mimosahollow::duties
