#pragma once

#include "mimosahollow/membership/view.h"

namespace mimosahollow::membership {

enum class LivenessChange : std::uint8_t {
    None,
    BecameAlive,
    BecameSuspect,
};

/** Updates the liveness of @p known from the heartbeats received from it and the echoes of the own ones. */
[[nodiscard]] LivenessChange updateLiveness(const View &view, KnownInstance &known, TimePoint now);

} // namespace mimosahollow::membership
