#include "mimosahollow/duties/dutyrules.h"

namespace mimosahollow::duties {

bool mayTake(std::string_view holder, std::string_view previous, std::string_view self, Duration ledFor, const TakeoverTimes &times)
{
    const Duration delay = previous == self ? times.delay + times.returnDelay : times.delay;
    return holder.empty() || (holder != self && ledFor >= delay);
}

/**
 * The begin of the round counts, not the arrival of its answers: those may have lain in a socket buffer while this machine was suspended, and another
 * leader may have been elected since they were sent.
 */
bool mayAct(std::string_view holder, std::string_view self, std::optional<std::int64_t> confirmed, std::int64_t boot, Duration timeout)
{
    return holder == self && confirmed && *confirmed <= boot && milliseconds(boot - *confirmed) <= timeout;
}

} // namespace mimosahollow::duties
