#pragma once

#include "mimosahollow/core/time.h"

namespace mimosahollow::quarantine {

/** An answer that breaks off later than this after its beginning was not ended by its own prompt. */
inline constexpr Duration firstTokensTime = milliseconds(700);
inline constexpr Duration quarantineTime = seconds(600); /**< After which a prompt part is tried again. */
inline constexpr Duration retryAfter = seconds(60); /**< Told to callers; a quarantine lasts for minutes. */

} // namespace mimosahollow::quarantine
