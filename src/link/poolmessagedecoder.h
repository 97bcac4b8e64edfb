#pragma once

#include "mimosahollow/link/poolcodec.h"

#include <pool_generated.h>

namespace mimosahollow::link {

/** Converts a verified message. */
[[nodiscard]] std::variant<PoolMessage, PoolCodecError> convert(const wire::PoolMessage &message, TimePoint now);

} // namespace mimosahollow::link
