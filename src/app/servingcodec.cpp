#include "servingcodec.h"

#include "mimosahollow/link/poolcodec.h"
#include "mimosahollow/link/tokencodec.h"

namespace mimosahollow::app {

namespace {

using link::MessageKind;

std::optional<Frame> encodePool(const serving::PoolMessage &message, TimePoint now)
{
    if (const auto *acquire = std::get_if<scheduling::AcquireRequest>(&message.body)) {
        return Frame{MessageKind::AcquireRequest, link::encode(link::PoolMessage(link::PoolAcquire{message.pool, *acquire}), now)};
    }
    if (const auto *grant = std::get_if<scheduling::Grant>(&message.body)) {
        return Frame{MessageKind::AcquireReply, link::encode(link::PoolMessage(link::PoolAcquireReply(*grant)), now)};
    }
    if (const auto *refusal = std::get_if<scheduling::Refusal>(&message.body)) {
        return Frame{MessageKind::AcquireReply, link::encode(link::PoolMessage(link::PoolAcquireReply(*refusal)), now)};
    }
    if (const auto *release = std::get_if<scheduling::Release>(&message.body)) {
        return Frame{MessageKind::Release, link::encode(link::PoolMessage(link::PoolRelease{message.pool, *release}), now)};
    }
    if (const auto *report = std::get_if<scheduling::GrantReport>(&message.body)) {
        return Frame{MessageKind::GrantReport, link::encode(link::PoolMessage(link::PoolGrantReport{message.pool, *report}), now)};
    }
    if (const auto *limit = std::get_if<scheduling::LimitStatement>(&message.body)) {
        // Kind of a server report: a new kind of frame would close links to older builds, while they drop an unknown content.
        return Frame{MessageKind::ServerReport, link::encode(link::PoolMessage(link::PoolLimitStatement{message.pool, *limit}), now)};
    }
    if (const auto *summary = std::get_if<scheduling::PoolSummary>(&message.body)) {
        return Frame{MessageKind::PoolSummary, link::encode(link::PoolMessage(*summary), now)};
    }
    // A cancelled request is granted or refused by a remote owner all the same, and its grant is returned at once.
    return std::nullopt;
}

serving::PeerMessage fromPoolMessage(link::PoolMessage &&message)
{
    if (auto *acquire = std::get_if<link::PoolAcquire>(&message)) {
        return serving::PoolMessage{acquire->pool, acquire->request};
    }
    if (auto *reply = std::get_if<link::PoolAcquireReply>(&message)) {
        if (const auto *grant = std::get_if<scheduling::Grant>(reply)) {
            return serving::PoolMessage{PoolId{}, *grant};
        }
        return serving::PoolMessage{PoolId{}, std::get<scheduling::Refusal>(*reply)};
    }
    if (auto *release = std::get_if<link::PoolRelease>(&message)) {
        return serving::PoolMessage{release->pool, release->release};
    }
    if (auto *report = std::get_if<link::PoolGrantReport>(&message)) {
        return serving::PoolMessage{report->pool, std::move(report->report)};
    }
    if (auto *summary = std::get_if<scheduling::PoolSummary>(&message)) {
        return serving::PoolMessage{summary->pool, std::move(*summary)};
    }
    if (auto *limit = std::get_if<link::PoolLimitStatement>(&message)) {
        return serving::PoolMessage{limit->pool, limit->statement};
    }
    if (auto *announcement = std::get_if<gateway::BackendAnnouncement>(&message)) {
        return std::move(*announcement);
    }
    return std::move(std::get<gateway::BackendReport>(message));
}

template<typename Message, typename Error>
std::optional<serving::PeerMessage> messageOf(std::variant<Message, Error> &&decoded)
{
    if (auto *message = std::get_if<Message>(&decoded)) {
        return serving::PeerMessage(std::move(*message));
    }
    return std::nullopt;
}

} // namespace

std::optional<Frame> encodeServingMessage(const serving::PeerMessage &message, TimePoint now)
{
    if (const auto *pool = std::get_if<serving::PoolMessage>(&message)) {
        return encodePool(*pool, now);
    }
    if (const auto *announcement = std::get_if<gateway::BackendAnnouncement>(&message)) {
        return Frame{MessageKind::ServerAnnouncement, link::encode(link::PoolMessage(*announcement), now)};
    }
    if (const auto *report = std::get_if<gateway::BackendReport>(&message)) {
        return Frame{MessageKind::ServerReport, link::encode(link::PoolMessage(*report), now)};
    }
    if (const auto *request = std::get_if<admission::TokenRequest>(&message)) {
        return Frame{MessageKind::TokenRequest, link::encode(*request)};
    }
    if (const auto *report = std::get_if<admission::TokenReport>(&message)) {
        return Frame{MessageKind::TokenReport, link::encode(*report)};
    }
    if (const auto *transfer = std::get_if<admission::TransferRequest>(&message)) {
        return Frame{MessageKind::TokenTransfer, link::encode(*transfer)};
    }
    if (const auto *reply = std::get_if<admission::TransferReply>(&message)) {
        return Frame{MessageKind::TransferReply, link::encode(*reply)};
    }
    return Frame{MessageKind::TokenGrant, link::encode(std::get<admission::TokenGrant>(message))};
}

std::optional<serving::PeerMessage> decodeServingMessage(MessageKind kind, std::span<const std::uint8_t> payload, TimePoint now)
{
    switch (kind) {
    case MessageKind::TokenRequest:
        return messageOf(link::decodeTokenRequest(payload));
    case MessageKind::TokenReport:
        return messageOf(link::decodeTokenReport(payload));
    case MessageKind::TokenGrant:
        return messageOf(link::decodeTokenGrant(payload));
    case MessageKind::TokenTransfer:
        return messageOf(link::decodeTransferRequest(payload));
    case MessageKind::TransferReply:
        return messageOf(link::decodeTransferReply(payload));
    default:
        break;
    }
    auto decoded = link::decodePoolMessage(payload, now);
    if (auto *message = std::get_if<link::PoolMessage>(&decoded)) {
        return fromPoolMessage(std::move(*message));
    }
    return std::nullopt;
}

bool isServingKind(MessageKind kind) noexcept
{
    // The protocol numbers the kinds of the serving part from 10 to 39.
    const auto value = static_cast<std::uint16_t>(kind);
    return value >= 10 && value < 40;
}

} // namespace mimosahollow::app
