#pragma once

#include "mimosahollow/core/ids.h"
#include "mimosahollow/core/time.h"

#include <cstdint>

namespace mimosahollow::admission {

/** Amount of tokens. Floating point, because the share of a failure domain need not be a whole number. */
using Tokens = double;

/** Account of a token bucket: 0 limits adapter loads from the weight store, others are organisation numbers. */
enum class AccountId : std::uint32_t {};

/** Limits adapter loads from the weight store. */
inline constexpr AccountId loadAccount{0};

/** Tokens of the load account that one load costs. */
inline constexpr Tokens loadCost = 1;

[[nodiscard]] constexpr AccountId accountOf(OrganisationId organisation) noexcept
{
    return static_cast<AccountId>(number(organisation));
}

/** Rounding error allowed in sums of amounts; far below one token. */
inline constexpr Tokens tokenTolerance = 1e-6;

/** Duration of a quota lease; for the holder it starts when it sends its request. */
inline constexpr Duration quotaLease = milliseconds(2000);

/** Added by the bucket owner, for which the lease starts with its answer; covers drift between the two clocks. */
inline constexpr Duration quotaLeaseMargin = milliseconds(500);

} // namespace mimosahollow::admission
