#pragma once

#include "mimosahollow/core/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace mimosahollow::membership {

/** Subscribes to the control state of an instance, starting at a log index. */
struct Subscribe
{
    InstanceId instance{};
    std::uint64_t incarnation = 0;
    Version nextIndex = 0; /**< First log index to send; 0: the subscriber has no state and needs a snapshot. */

    friend bool operator==(const Subscribe &, const Subscribe &) = default;
};

/** A snapshot part or a range of increments of the control state. The payload is opaque to this module. */
struct Update
{
    bool snapshot = false; /**< True: the full state at lastIndex. False: the increments firstIndex to lastIndex. */
    Version firstIndex = 0;
    Version lastIndex = 0;
    std::uint32_t part = 0; /**< A snapshot larger than a frame is split into parts 0 to parts - 1. */
    std::uint32_t parts = 1;
    std::string leader; /**< Name of the control leader known to the sender; may be empty. */
    std::vector<std::uint8_t> payload;

    friend bool operator==(const Update &, const Update &) = default;
};

/** A command for the control leader. The payload is opaque to this module. */
struct Command
{
    std::uint64_t sequence = 0; /**< Matches the reply to the command; chosen by the sender. */
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
