#pragma once

#include <cstdint>
#include <string_view>

namespace mimosahollow {

/** What the caller may conclude about the call. */
enum class CallOutcome : std::uint8_t {
    NotRun, /**< No byte of the request reached a backend server. */
    Unknown, /**< The call may have run. */
};

/** Machine-readable reasons of refusals. The names in toString() are part of the API. */
enum class RefusalReason : std::uint8_t {
    InvalidRequest,
    InvalidKey,
    NotPermitted,
    UnknownModel,
    UnknownRoute,
    RateLimited,
    Overloaded,
    DeadlineExceeded,
    NoCapacity,
    ConfigurationStale,
    NoQuorum,
    ShuttingDown,
    InProgress,
    IdempotencyConflict,
    BackendFailed,
    LoadFailed,
    CostAboveBurst,
    PromptQuarantined,
};

[[nodiscard]] std::string_view toString(CallOutcome outcome) noexcept;
[[nodiscard]] std::string_view toString(RefusalReason reason) noexcept;

/** HTTP status that the gateway sends for @p reason. */
[[nodiscard]] unsigned httpStatus(RefusalReason reason) noexcept;

} // namespace mimosahollow
