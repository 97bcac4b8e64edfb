#pragma once

#include "mimosahollow/core/ids.h"
#include "mimosahollow/core/time.h"

#include <cstdint>

namespace mimosahollow::admission {

/** Amount of tokens. A floating point number, because a failure domain's part of a burst need not be whole. */
using Tokens = double;

/** Account of a token bucket: the load bucket of the weight store, or the number of an organisation. */
enum class AccountId : std::uint32_t {};

/** The load bucket of the weight store. */
inline constexpr AccountId loadAccount{0};

/** Cost of one load in the load account. */
inline constexpr Tokens loadCost = 1;

[[nodiscard]] constexpr AccountId accountOf(OrganisationId organisation) noexcept
{
    return static_cast<AccountId>(number(organisation));
}

/** Rounding error that sums of amounts may carry; far below one token. */
inline constexpr Tokens tokenTolerance = 1e-6;

/** Validity of a quota lease, counted by the holder from the time it sent its request. */
inline constexpr Duration quotaLease = milliseconds(2000);

/** What the bucket owner adds when it counts the same lease from its answer; covers drift of the two clocks. */
inline constexpr Duration quotaLeaseMargin = milliseconds(500);

} // namespace mimosahollow::admission
