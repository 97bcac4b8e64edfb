#include "mimosahollow/link/tokencodec.h"

#include "wireelements.h"

#include <tokens_generated.h>

#include <cmath>
#include <cstddef>
#include <initializer_list>

namespace mimosahollow::link {

namespace {

// Room for a message of a few accounts without growing.
constexpr std::size_t initialBufferBytes = 512;

using Builder = flatbuffers::FlatBufferBuilder;

wire::LeaseSession toWire(const admission::LeaseSession &session)
{
    return {session.epoch, session.process, session.session, session.sequence, number(session.domain), number(session.holder)};
}

wire::LeaseUse toWire(const admission::LeaseUse &use)
{
    return {use.spent, use.returned, use.refunded, number(use.account)};
}

wire::LeaseWish toWire(const admission::LeaseWish &wish)
{
    return {toWire(wish.use), wish.need, wish.target, wish.priority};
}

wire::GrantItem toWire(const admission::GrantItem &item)
{
    return {item.granted, item.reachable, item.unmet, item.recall, number(item.account)};
}

wire::TransferHeader toWire(const admission::TransferHeader &header)
{
    return {header.fromEpoch, header.toEpoch, header.sequence, number(header.from), number(header.to), number(header.sender)};
}

wire::TransferWish toWire(const admission::TransferWish &wish)
{
    return {wish.level, wish.capacity, wish.room, number(wish.account)};
}

wire::TransferItem toWire(const admission::TransferItem &item)
{
    return {item.amount, number(item.account)};
}

template<typename Wire, typename Items>
flatbuffers::Offset<flatbuffers::Vector<const Wire *>> vectorOf(Builder &builder, const Items &items)
{
    Wire *target = nullptr;
    const auto offset = builder.CreateUninitializedVectorOfStructs<Wire>(items.size(), &target);
    for (const auto &item : items) {
        *target++ = toWire(item);
    }
    return offset;
}

template<typename Message>
std::vector<std::uint8_t> finish(Builder &builder, flatbuffers::Offset<Message> message)
{
    builder.Finish(wire::CreateTokenFrame(builder, wire::TokenMessageTraits<Message>::enum_value, message.Union()));
    return {builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize()};
}

admission::LeaseSession fromWire(const wire::LeaseSession &session)
{
    return {static_cast<DomainId>(session.domain()),
            session.epoch(),
            static_cast<InstanceId>(session.holder()),
            session.process(),
            session.session(),
            session.sequence()};
}

admission::LeaseUse fromWire(const wire::LeaseUse &use)
{
    return {static_cast<admission::AccountId>(use.account()), use.spent(), use.returned(), use.refunded()};
}

admission::LeaseWish fromWire(const wire::LeaseWish &wish)
{
    return {fromWire(wish.use()), wish.need(), wish.target(), wish.priority()};
}

admission::GrantItem fromWire(const wire::GrantItem &item)
{
    return {static_cast<admission::AccountId>(item.account()), item.granted(), item.reachable(), item.unmet(), item.recall()};
}

admission::TransferHeader fromWire(const wire::TransferHeader &header)
{
    return {static_cast<DomainId>(header.from()),
            static_cast<DomainId>(header.to()),
            static_cast<InstanceId>(header.sender()),
            header.from_epoch(),
            header.to_epoch(),
            header.sequence()};
}

admission::TransferWish fromWire(const wire::TransferWish &wish)
{
    return {static_cast<admission::AccountId>(wish.account()), wish.level(), wish.capacity(), wish.room()};
}

admission::TransferItem fromWire(const wire::TransferItem &item)
{
    return {static_cast<admission::AccountId>(item.account()), item.amount()};
}

bool valid(std::initializer_list<double> amounts)
{
    for (const double amount : amounts) {
        if (!std::isfinite(amount) || amount < 0) {
            return false;
        }
    }
    return true;
}

bool valid(const admission::LeaseUse &use)
{
    return valid({use.spent, use.returned, use.refunded});
}

bool valid(const admission::LeaseWish &wish)
{
    return valid(wish.use) && valid({wish.need, wish.target});
}

bool valid(const admission::GrantItem &item)
{
    return valid({item.granted, item.reachable, item.unmet});
}

bool valid(const admission::TransferWish &wish)
{
    return valid({wish.level, wish.capacity, wish.room});
}

bool valid(const admission::TransferItem &item)
{
    return valid({item.amount});
}

/** False when an amount is invalid. */
template<typename Wire, typename Items>
bool read(const flatbuffers::Vector<const Wire *> *source, Items &target)
{
    if (source == nullptr) {
        return true;
    }
    target.reserve(source->size());
    return forEachElement(source, [&target](const Wire &item) {
        target.push_back(fromWire(item));
        return valid(target.back());
    });
}

/** The accessors of the schema need aligned memory; bytes of a received frame may start anywhere. */
class AlignedBytes
{
public:
    explicit AlignedBytes(std::span<const std::uint8_t> bytes) : m_bytes(bytes)
    {
        if (reinterpret_cast<std::uintptr_t>(bytes.data()) % alignof(std::max_align_t) != 0) {
            m_copy.assign(bytes.begin(), bytes.end());
            m_bytes = m_copy;
        }
    }
    AlignedBytes(const AlignedBytes &) = delete;
    AlignedBytes &operator=(const AlignedBytes &) = delete;

    [[nodiscard]] std::span<const std::uint8_t> bytes() const noexcept
    {
        return m_bytes;
    }

private:
    std::vector<std::uint8_t> m_copy;
    std::span<const std::uint8_t> m_bytes;
};

/** Null when the bytes are not a frame with this message. */
template<typename Message>
const Message *verified(std::span<const std::uint8_t> bytes)
{
    flatbuffers::Verifier verifier(bytes.data(), bytes.size());
    if (!wire::VerifyTokenFrameBuffer(verifier)) {
        return nullptr;
    }
    const wire::TokenFrame *frame = wire::GetTokenFrame(bytes.data());
    // The verifier accepts unions of unknown type.
    return frame->message_type() == wire::TokenMessageTraits<Message>::enum_value ? static_cast<const Message *>(frame->message()) : nullptr;
}

} // namespace

std::vector<std::uint8_t> encode(const admission::TokenRequest &request)
{
    Builder builder(initialBufferBytes);
    const auto wishes = vectorOf<wire::LeaseWish>(builder, request.wishes);
    const wire::LeaseSession session = toWire(request.session);
    return finish(builder, wire::CreateTokenRequest(builder, &session, wishes));
}

std::vector<std::uint8_t> encode(const admission::TokenReport &report)
{
    Builder builder(initialBufferBytes);
    const auto uses = vectorOf<wire::LeaseUse>(builder, report.uses);
    const wire::LeaseSession session = toWire(report.session);
    return finish(builder, wire::CreateTokenReport(builder, &session, report.closing, uses));
}

std::vector<std::uint8_t> encode(const admission::TokenGrant &grant)
{
    Builder builder(initialBufferBytes);
    const auto items = vectorOf<wire::GrantItem>(builder, grant.items);
    const wire::LeaseSession session = toWire(grant.session);
    const auto validFor = std::chrono::duration_cast<milliseconds>(grant.validFor).count();
    return finish(builder, wire::CreateTokenGrant(builder, &session, static_cast<std::uint32_t>(validFor), grant.configuration, items));
}

std::variant<admission::TokenRequest, TokenCodecError> decodeTokenRequest(std::span<const std::uint8_t> bytes)
{
    const AlignedBytes aligned(bytes);
    const auto *message = verified<wire::TokenRequest>(aligned.bytes());
    if (message == nullptr) {
        return TokenCodecError::Malformed;
    }
    admission::TokenRequest request;
    request.session = fromWire(*message->session());
    if (!read(message->wishes(), request.wishes)) {
        return TokenCodecError::InvalidAmount;
    }
    return request;
}

std::variant<admission::TokenReport, TokenCodecError> decodeTokenReport(std::span<const std::uint8_t> bytes)
{
    const AlignedBytes aligned(bytes);
    const auto *message = verified<wire::TokenReport>(aligned.bytes());
    if (message == nullptr) {
        return TokenCodecError::Malformed;
    }
    admission::TokenReport report;
    report.session = fromWire(*message->session());
    report.closing = message->closing();
    if (!read(message->uses(), report.uses)) {
        return TokenCodecError::InvalidAmount;
    }
    return report;
}

std::variant<admission::TokenGrant, TokenCodecError> decodeTokenGrant(std::span<const std::uint8_t> bytes)
{
    const AlignedBytes aligned(bytes);
    const auto *message = verified<wire::TokenGrant>(aligned.bytes());
    if (message == nullptr) {
        return TokenCodecError::Malformed;
    }
    admission::TokenGrant grant;
    grant.session = fromWire(*message->session());
    grant.validFor = milliseconds(message->valid_for_ms());
    grant.configuration = message->configuration();
    if (grant.validFor > admission::quotaLease) {
        return TokenCodecError::InvalidDuration;
    }
    if (!read(message->items(), grant.items)) {
        return TokenCodecError::InvalidAmount;
    }
    return grant;
}

std::vector<std::uint8_t> encode(const admission::TransferRequest &request)
{
    Builder builder(initialBufferBytes);
    const auto wishes = vectorOf<wire::TransferWish>(builder, request.wishes);
    const wire::TransferHeader header = toWire(request.header);
    return finish(builder, wire::CreateTransferRequest(builder, &header, wishes));
}

std::vector<std::uint8_t> encode(const admission::TransferReply &reply)
{
    Builder builder(initialBufferBytes);
    const auto items = vectorOf<wire::TransferItem>(builder, reply.items);
    const wire::TransferHeader header = toWire(reply.header);
    return finish(builder, wire::CreateTransferReply(builder, &header, items));
}

std::variant<admission::TransferRequest, TokenCodecError> decodeTransferRequest(std::span<const std::uint8_t> bytes)
{
    const AlignedBytes aligned(bytes);
    const auto *message = verified<wire::TransferRequest>(aligned.bytes());
    if (message == nullptr) {
        return TokenCodecError::Malformed;
    }
    admission::TransferRequest request;
    request.header = fromWire(*message->header());
    if (!read(message->wishes(), request.wishes)) {
        return TokenCodecError::InvalidAmount;
    }
    return request;
}

std::variant<admission::TransferReply, TokenCodecError> decodeTransferReply(std::span<const std::uint8_t> bytes)
{
    const AlignedBytes aligned(bytes);
    const auto *message = verified<wire::TransferReply>(aligned.bytes());
    if (message == nullptr) {
        return TokenCodecError::Malformed;
    }
    admission::TransferReply reply;
    reply.header = fromWire(*message->header());
    if (!read(message->items(), reply.items)) {
        return TokenCodecError::InvalidAmount;
    }
    return reply;
}

} // namespace mimosahollow::link
