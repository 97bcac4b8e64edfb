#pragma once

#include "mimosahollow/core/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace mimosahollow::membership {

/** Asks an instance for the control state from a log index on. */
struct Subscribe
{
    InstanceId instance{};
    std::uint64_t incarnation = 0;
    Version nextIndex = 0; /**< First log index that the subscriber lacks; 0: it has no state and needs a snapshot. */

    friend bool operator==(const Subscribe &, const Subscribe &) = default;
};

/** A part of the control state. The payload is opaque here. */
struct Update
{
    bool snapshot = false; /**< Whole state at lastIndex; otherwise the increments firstIndex to lastIndex. */
    Version firstIndex = 0;
    Version lastIndex = 0;
    std::uint32_t part = 0; /**< A snapshot larger than a frame is sent in parts 0 to parts - 1. */
    std::uint32_t parts = 1;
    std::string leader; /**< Name of the control leader as the sender knows it; may be empty. */
    std::vector<std::uint8_t> payload;

    friend bool operator==(const Update &, const Update &) = default;
};

/** A command for the control leader. The payload is opaque here. */
struct Command
{
    std::uint64_t sequence = 0; /**< Number by which the sender finds the reply. */
    InstanceId instance{};
    std::vector<std::uint8_t> payload;

    friend bool operator==(const Command &, const Command &) = default;
};

struct CommandReply
{
    std::uint64_t sequence = 0;
    std::vector<std::uint8_t> payload;

    friend bool operator==(const CommandReply &, const CommandReply &) = default;
};

} // namespace mimosahollow::membership
