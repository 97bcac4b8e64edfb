#pragma once

#include "mimosahollow/link/messagekind.h"
#include "mimosahollow/membership/instancerecord.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace mimosahollow::link {

/** A frame from a connected peer. The payload is not verified yet. */
struct ReceivedFrame
{
    std::string peer;
    MessageKind kind{};
    std::vector<std::uint8_t> payload;
};

/** Both sides have accepted each other's Hello. */
struct PeerUp
{
    membership::InstanceRecord peer;
};

struct PeerDown
{
    std::string peer;
    std::string reason;
};

using LinkEvent = std::variant<ReceivedFrame, PeerUp, PeerDown>;

} // namespace mimosahollow::link
