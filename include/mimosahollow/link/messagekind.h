#pragma once

#include <cstdint>

namespace mimosahollow::link {

/** Kind of a frame. The numbers are part of the protocol. */
enum class MessageKind : std::uint16_t {
    Hello = 1,
    Heartbeat = 2,
    Promise = 3,
    AcquireRequest = 10,
    AcquireReply = 11,
    Release = 12,
    GrantReport = 13,
    TokenRequest = 20,
    TokenGrant = 21,
    TokenReport = 22,
    TokenTransfer = 23,
    StateHandover = 24,
    TransferReply = 25,
    ServerAnnouncement = 30,
    ServerReport = 31,
    PoolSummary = 32,
    VoteRequest = 40,
    VoteReply = 41,
    AppendRequest = 42,
    AppendReply = 43,
    SnapshotChunk = 44,
    Consensus = 45,
    Subscribe = 50,
    Update = 51,
    RenewRequest = 52,
    RenewReply = 53,
    Confirm = 54,
    Command = 55,
    CommandReply = 56,
    Relay = 60, /**< Messages between entry instances and coordinators. */
};

/** Whether @p kind is one of the numbers above. */
[[nodiscard]] bool isMessageKind(std::uint16_t kind) noexcept;

} // namespace mimosahollow::link
