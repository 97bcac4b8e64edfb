#include "controlframes.h"

#include "mimosahollow/link/controlcodec.h"
#include "mimosahollow/link/fleetcodec.h"

namespace mimosahollow::app {

namespace {

using link::MessageKind;

struct ControlEncoder
{
    Frame operator()(const membership::Heartbeat &message) const
    {
        return {MessageKind::Heartbeat, link::encode(message)};
    }
    Frame operator()(const membership::Promise &message) const
    {
        return {MessageKind::Promise, link::encode(message)};
    }
    Frame operator()(const membership::Subscribe &message) const
    {
        return {MessageKind::Subscribe, link::encode(message)};
    }
    Frame operator()(const membership::Update &message) const
    {
        return {MessageKind::Update, link::encode(message)};
    }
    Frame operator()(const membership::RenewRequest &message) const
    {
        return {MessageKind::RenewRequest, link::encode(message)};
    }
    Frame operator()(const membership::RenewReply &message) const
    {
        return {MessageKind::RenewReply, link::encode(message)};
    }
    Frame operator()(const membership::Confirm &message) const
    {
        return {MessageKind::Confirm, link::encode(message)};
    }
    Frame operator()(const membership::Command &message) const
    {
        return {MessageKind::Command, link::encode(message)};
    }
    Frame operator()(const membership::CommandReply &message) const
    {
        return {MessageKind::CommandReply, link::encode(message)};
    }
    Frame operator()(const control::ConsensusMessage &message) const
    {
        return {MessageKind::Consensus, link::encode(message)};
    }
};

template<typename Message, typename Error>
std::optional<coordination::Message> messageOf(std::variant<Message, Error> &&decoded)
{
    if (auto *message = std::get_if<Message>(&decoded)) {
        return coordination::Message(std::move(*message));
    }
    return std::nullopt;
}

} // namespace

Frame encodeControlMessage(const coordination::Message &message)
{
    return std::visit(ControlEncoder{}, message);
}

std::optional<coordination::Message> decodeControlMessage(MessageKind kind, std::span<const std::uint8_t> payload)
{
    switch (kind) {
    case MessageKind::Heartbeat:
        return messageOf(link::decodeHeartbeat(payload));
    case MessageKind::Promise:
        return messageOf(link::decodePromise(payload));
    case MessageKind::Subscribe:
        return messageOf(link::decodeSubscribe(payload));
    case MessageKind::Update:
        return messageOf(link::decodeUpdate(payload));
    case MessageKind::RenewRequest:
        return messageOf(link::decodeRenewRequest(payload));
    case MessageKind::RenewReply:
        return messageOf(link::decodeRenewReply(payload));
    case MessageKind::Confirm:
        return messageOf(link::decodeConfirm(payload));
    case MessageKind::Command:
        return messageOf(link::decodeForwardedCommand(payload));
    case MessageKind::CommandReply:
        return messageOf(link::decodeCommandReply(payload));
    case MessageKind::Consensus:
        return messageOf(link::decodeConsensusMessage(payload));
    default:
        return std::nullopt;
    }
}

} // namespace mimosahollow::app
