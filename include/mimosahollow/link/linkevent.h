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

/** The connection has ended. Frames that send() accepted and the peer has not answered may be lost. */
struct PeerDown
{
    std::string peer;
    std::string reason;
};

/** A connection ended before its Hello was accepted: another fleet, version or authority, malformed bytes, or a timeout. */
struct PeerRefused
{
    std::string address;
    std::string reason;
};

using LinkEvent = std::variant<ReceivedFrame, PeerUp, PeerDown, PeerRefused>;

} // namespace mimosahollow::link
