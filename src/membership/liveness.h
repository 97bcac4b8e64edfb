#pragma once

#include "mimosahollow/membership/view.h"

namespace mimosahollow::membership {

enum class LivenessChange : std::uint8_t {
    None,
    BecameAlive,
    BecameSuspect,
};

/** Judges the two-way contact with @p known from the evidence of both directions. */
[[nodiscard]] LivenessChange updateLiveness(const View &view, KnownInstance &known, TimePoint now);

} // namespace mimosahollow::membership
