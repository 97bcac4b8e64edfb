#include "mimosahollow/link/messagekind.h"

namespace mimosahollow::link {

bool isMessageKind(std::uint16_t kind) noexcept
{
    switch (static_cast<MessageKind>(kind)) {
    case MessageKind::Hello:
    case MessageKind::Heartbeat:
    case MessageKind::Promise:
    case MessageKind::AcquireRequest:
    case MessageKind::AcquireReply:
    case MessageKind::Release:
    case MessageKind::GrantReport:
    case MessageKind::TokenRequest:
    case MessageKind::TokenGrant:
    case MessageKind::TokenReport:
    case MessageKind::TokenTransfer:
    case MessageKind::StateHandover:
    case MessageKind::TransferReply:
    case MessageKind::ServerAnnouncement:
    case MessageKind::ServerReport:
    case MessageKind::PoolSummary:
    case MessageKind::VoteRequest:
    case MessageKind::VoteReply:
    case MessageKind::AppendRequest:
    case MessageKind::AppendReply:
    case MessageKind::SnapshotChunk:
    case MessageKind::Consensus:
    case MessageKind::Subscribe:
    case MessageKind::Update:
    case MessageKind::RenewRequest:
    case MessageKind::RenewReply:
    case MessageKind::Confirm:
    case MessageKind::Command:
    case MessageKind::CommandReply:
    case MessageKind::Relay:
        return true;
    }
    return false;
}

} // namespace mimosahollow::link
