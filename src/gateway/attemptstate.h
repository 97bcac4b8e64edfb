#pragma once

#include "answerreader.h"
#include "attempt.h"
#include "callerwatch.h"

#include <memory>

namespace mimosahollow::gateway {

/** An open answer of a backend server. */
struct OpenAnswer
{
    UpstreamPointer connection;
    std::unique_ptr<AnswerReader> reader; // refers to the connection
};

/** State of one attempt while its coroutine runs. */
struct Attempt
{
    GatewayThread &thread;
    boost::beast::tcp_stream &caller;
    CallerWatch &watch;
    const AttemptRequest &request;
    const ServingGrant &grant;
    AttemptEnd end;
    bool cancelled = false; /**< The caller left and the connection to the backend server was closed. */

    /** Sets the outcome; a caller that left and a deadline that passed take precedence. */
    void fail(AttemptOutcome outcome) noexcept;
    [[nodiscard]] bool deadlinePassed() const noexcept;
};

/** Opens the answer at token @p resumeFrom (0: from the start). Null reader when the attempt failed; its outcome is set. */
[[nodiscard]] boost::asio::awaitable<OpenAnswer> openAnswer(Attempt &attempt, std::uint32_t resumeFrom);

/** Carries an answer that is not streamed. */
[[nodiscard]] boost::asio::awaitable<void> carryWhole(Attempt &attempt, OpenAnswer &answer);

/** Carries a stream of server-sent events; resumes it once where the engine supports it. */
[[nodiscard]] boost::asio::awaitable<void> carryStream(Attempt &attempt, OpenAnswer &answer);

/** Keeps the connection for reuse once the rest of the answer has arrived. */
void recycle(Attempt &attempt, OpenAnswer answer);

} // namespace mimosahollow::gateway
