#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace mimosahollow::standin {

/** How a call on a stand-in backend server ended. */
enum class EngineCallState : std::uint8_t {
    Running,
    Completed,
    Cancelled, /**< The connection was closed before the end of the answer. */
    NotRun, /**< The adapter is not resident. */
    Failed, /**< Ended by a fault that was asked for. */
};

/** A call as a stand-in backend server received it. */
struct EngineCall
{
    std::uint64_t number = 0;
    std::string method;
    std::string target;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::string adapter;
    std::uint32_t firstToken = 0; /**< Token from which the answer goes on. */
    std::uint32_t tokens = 0; /**< Tokens sent. */
    EngineCallState state = EngineCallState::Running;
};

} // namespace mimosahollow::standin
