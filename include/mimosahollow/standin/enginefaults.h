#pragma once

#include "mimosahollow/core/time.h"

#include <cstdint>
#include <string>

namespace mimosahollow::standin {

/** Misbehaviour of a stand-in backend server. All off by default; may be changed while it runs. */
struct EngineFaults
{
    std::uint32_t dieAfterTokens = 0; /**< Resets the connection of a stream after so many tokens; 0: never. */
    std::uint32_t endAfterTokens = 0; /**< Ends a stream after so many tokens as if it were complete, without the end mark; 0: never. */
    bool failResumes = false; /**< Answers with an error to a call that resumes a stream. */
    bool wrongRequestId = false; /**< Answers with the id of another request. */
    bool foreignAnswerFirst = false; /**< Sends a whole answer to another request before its own. */
    bool closeSilently = false; /**< Closes the connection after each answer without announcing it. */
    bool hang = false; /**< Takes calls and never answers. */
    Duration answerDelay{}; /**< Waits so long before the head of an answer. */
    std::string namedLimit; /**< Value of the header field that names its limit in calls per second; empty: none is sent. */
    bool refuseLoads = false;
    bool hangLoads = false;
    Duration loadDelay{}; /**< Added to the load time. */
    bool cold = false; /**< Without notice, all times are 10 x as long, and the limit for cold servers applies. */
};

} // namespace mimosahollow::standin
