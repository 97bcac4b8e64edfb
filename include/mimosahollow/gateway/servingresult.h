#pragma once

#include "mimosahollow/core/ids.h"
#include "mimosahollow/core/time.h"

#include <cstdint>
#include <string>

namespace mimosahollow::gateway {

/** How an attempt on a backend server ended. */
enum class AttemptOutcome : std::uint8_t {
    Completed,
    ConnectionRefused, /**< No byte was sent. */
    FailedBeforeAnswer, /**< Bytes were sent, none of the answer reached the caller. */
    FailedDuringAnswer,
    CallerLeft, /**< With grant 0: while the call waited for a reply; none is needed any more. */
    AdapterMissing, /**< The server refused the call because the adapter is not resident; it did not run. */
    DeadlineExceeded, /**< With grant 0: no reply came in time. */
};

/** Report of the gateway after an attempt; the dispatch thread answers a repeatable failure with another reply. */
struct ServingResult
{
    RequestId id;
    std::uint64_t grant = 0;
    AttemptOutcome outcome{};
    unsigned status = 0;
    std::uint32_t outputTokens = 0;
    Duration firstTokenLatency{};
    bool awaitsReply = false; /**< The gateway holds the call open and waits for a retry or a refusal. */
    std::string answerContentType; /**< Answer to store, only for calls with an idempotency key. */
    std::string answerBody;
    bool answerOmitted = false; /**< The answer is too large to be stored. */
};

} // namespace mimosahollow::gateway
