#include "mimosahollow/core/refusal.h"

#include <array>
#include <cstddef>

namespace mimosahollow {

namespace {

struct ReasonEntry
{
    RefusalReason reason;
    std::string_view name;
    unsigned status;
};

// Indexed by the value of the enumerator.
constexpr std::array reasonTable{
    ReasonEntry{RefusalReason::InvalidRequest, "invalid-request", 400},
    ReasonEntry{RefusalReason::InvalidKey, "invalid-key", 401},
    ReasonEntry{RefusalReason::NotPermitted, "not-permitted", 403},
    ReasonEntry{RefusalReason::UnknownModel, "unknown-model", 404},
    ReasonEntry{RefusalReason::UnknownRoute, "unknown-route", 404},
    ReasonEntry{RefusalReason::RateLimited, "rate-limited", 429},
    ReasonEntry{RefusalReason::Overloaded, "overloaded", 503},
    ReasonEntry{RefusalReason::DeadlineExceeded, "deadline-exceeded", 504},
    ReasonEntry{RefusalReason::NoCapacity, "no-capacity", 503},
    ReasonEntry{RefusalReason::ConfigurationStale, "configuration-stale", 503},
    ReasonEntry{RefusalReason::NoQuorum, "no-quorum", 503},
    ReasonEntry{RefusalReason::ShuttingDown, "shutting-down", 503},
    ReasonEntry{RefusalReason::InProgress, "in-progress", 409},
    ReasonEntry{RefusalReason::IdempotencyConflict, "idempotency-conflict", 422},
    ReasonEntry{RefusalReason::BackendFailed, "backend-failed", 502},
    ReasonEntry{RefusalReason::LoadFailed, "load-failed", 503},
    ReasonEntry{RefusalReason::CostAboveBurst, "cost-above-burst", 400},
    ReasonEntry{RefusalReason::PromptQuarantined, "prompt-quarantined", 503},
};

constexpr bool tableMatchesEnum()
{
    for (std::size_t i = 0; i < reasonTable.size(); ++i) {
        if (static_cast<std::size_t>(reasonTable[i].reason) != i) {
            return false;
        }
    }
    return true;
}
static_assert(tableMatchesEnum());

} // namespace

std::string_view toString(CallOutcome outcome) noexcept
{
    return outcome == CallOutcome::NotRun ? "not-run" : "unknown";
}

std::string_view toString(RefusalReason reason) noexcept
{
    return reasonTable[static_cast<std::size_t>(reason)].name;
}

unsigned httpStatus(RefusalReason reason) noexcept
{
    return reasonTable[static_cast<std::size_t>(reason)].status;
}

} // namespace mimosahollow
