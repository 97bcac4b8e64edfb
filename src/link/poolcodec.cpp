#include "mimosahollow/link/poolcodec.h"

#include "poolmessagedecoder.h"

#include <flatbuffers/flatbuffers.h>
#include <pool_generated.h>

#include <chrono>

namespace mimosahollow::link {

namespace {

using Builder = flatbuffers::FlatBufferBuilder;
using Offset = flatbuffers::Offset<void>;

struct Encoded
{
    wire::PoolContent kind{};
    Offset content;
};

std::int64_t microseconds(Duration duration) noexcept
{
    return std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
}

struct Encoder
{
    Builder &builder;
    TimePoint now;

    Encoded operator()(const PoolAcquire &message) const
    {
        const scheduling::AcquireRequest &request = message.request;
        const auto promptParts = request.promptParts.empty() ? 0 : builder.CreateVector(request.promptParts);
        const auto content = wire::CreateAcquireRequest(builder,
                                                        request.id.process,
                                                        request.id.sequence,
                                                        number(message.pool),
                                                        number(request.entry),
                                                        number(request.organisation),
                                                        request.weight,
                                                        number(request.adapter),
                                                        request.promptTokens,
                                                        request.maximumOutputTokens,
                                                        request.prefixHash,
                                                        microseconds(request.deadline - now),
                                                        request.repeatable,
                                                        promptParts);
        return {wire::PoolContent_AcquireRequest, content.Union()};
    }

    Encoded operator()(const PoolAcquireReply &message) const
    {
        if (const auto *grant = std::get_if<scheduling::Grant>(&message)) {
            const auto result = wire::CreateGrantReply(builder, grant->grant, grant->fencing, number(grant->server), number(grant->adapter), grant->isLimited);
            return reply(grant->id, grant->entry, wire::AcquireResult_GrantReply, result.Union());
        }
        const auto &refusal = std::get<scheduling::Refusal>(message);
        const auto result = wire::CreateRefusalReply(builder, static_cast<std::uint8_t>(refusal.reason), microseconds(refusal.retryAfter));
        return reply(refusal.id, refusal.entry, wire::AcquireResult_RefusalReply, result.Union());
    }

    Encoded operator()(const PoolRelease &message) const
    {
        const scheduling::Release &release = message.release;
        const auto content = wire::CreateRelease(builder,
                                                 release.id.process,
                                                 release.id.sequence,
                                                 number(message.pool),
                                                 release.grant,
                                                 release.fencing,
                                                 static_cast<std::uint8_t>(release.outcome),
                                                 release.tokensUsed,
                                                 microseconds(release.firstTokenLatency));
        return {wire::PoolContent_Release, content.Union()};
    }

    Encoded operator()(const PoolGrantReport &message) const
    {
        std::vector<flatbuffers::Offset<wire::HeldGrant>> grants;
        grants.reserve(message.report.grants.size());
        for (const scheduling::HeldGrant &held : message.report.grants) {
            grants.push_back(wire::CreateHeldGrant(builder,
                                                   held.id.process,
                                                   held.id.sequence,
                                                   held.grant,
                                                   held.fencing,
                                                   number(held.server),
                                                   number(held.organisation),
                                                   number(held.adapter),
                                                   held.estimatedTokens,
                                                   microseconds(held.deadline - now),
                                                   held.promptTokens));
        }
        const auto content = wire::CreateGrantReport(builder, number(message.pool), number(message.report.entry), builder.CreateVector(grants));
        return {wire::PoolContent_GrantReport, content.Union()};
    }

    Encoded operator()(const scheduling::PoolSummary &summary) const
    {
        std::vector<std::uint32_t> adapters;
        adapters.reserve(summary.adapters.size());
        for (const AdapterId adapter : summary.adapters) {
            adapters.push_back(number(adapter));
        }
        std::vector<flatbuffers::Offset<wire::AdapterWait>> waits;
        waits.reserve(summary.waits.size());
        for (const scheduling::AdapterWait &wait : summary.waits) {
            waits.push_back(wire::CreateAdapterWait(builder, number(wait.adapter), microseconds(wait.wait)));
        }
        const auto serverEnds = encodeEnds(summary.crashEvidence);
        const auto soundAnswers = encodePartTimes(summary.crashEvidence.soundAnswers);
        const auto quarantinedParts = encodePartTimes(summary.crashEvidence.quarantinedSince);
        const auto content = wire::CreatePoolSummary(builder,
                                                     number(summary.pool),
                                                     summary.fencing,
                                                     summary.inService,
                                                     summary.freeSlots,
                                                     summary.totalSlots,
                                                     summary.waiting,
                                                     microseconds(summary.expectedWait),
                                                     microseconds(summary.expectedLoadWait),
                                                     builder.CreateVector(adapters),
                                                     builder.CreateVector(waits),
                                                     serverEnds,
                                                     soundAnswers,
                                                     quarantinedParts);
        return {wire::PoolContent_PoolSummary, content.Union()};
    }

    Encoded operator()(const gateway::BackendAnnouncement &announcement) const
    {
        const auto name = builder.CreateString(announcement.name);
        const auto address = builder.CreateString(announcement.address);
        const auto domain = builder.CreateString(announcement.failureDomain);
        const auto kind = builder.CreateString(announcement.kind);
        const auto adapters = builder.CreateVectorOfStrings(announcement.adapters);
        const auto content = wire::CreateServerAnnouncement(builder,
                                                            name,
                                                            address,
                                                            domain,
                                                            kind,
                                                            announcement.incarnation,
                                                            announcement.slots,
                                                            announcement.adapterSlots,
                                                            announcement.coldLimit,
                                                            announcement.checksFencing,
                                                            announcement.leaving,
                                                            adapters);
        return {wire::PoolContent_ServerAnnouncement, content.Union()};
    }

    Encoded operator()(const gateway::BackendReport &report) const
    {
        const auto name = builder.CreateString(report.name);
        const auto adapters = builder.CreateVectorOfStrings(report.adapters);
        const auto content = wire::CreateServerReport(builder, name, report.incarnation, report.running, report.queued, adapters);
        return {wire::PoolContent_ServerReport, content.Union()};
    }

    Encoded operator()(const PoolLimitStatement &message) const
    {
        const scheduling::LimitStatement &statement = message.statement;
        const auto content = wire::CreateLimitStatement(
            builder, statement.id.process, statement.id.sequence, number(message.pool), statement.grant, statement.fencing, statement.callsPerSecond);
        return {wire::PoolContent_LimitStatement, content.Union()};
    }

private:
    template<typename Table>
    using OptionalVector = flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<Table>>>;

    OptionalVector<wire::ServerEnd> encodeEnds(const scheduling::CrashEvidence &evidence) const
    {
        std::vector<flatbuffers::Offset<wire::ServerEnd>> ends;
        ends.reserve(evidence.ends.size());
        for (const scheduling::CrashEvidence::End &shared : evidence.ends) {
            const auto server = builder.CreateString(shared.end.server);
            const auto parts = builder.CreateVectorOfStrings(shared.end.parts);
            ends.push_back(wire::CreateServerEnd(builder, server, shared.end.born, microseconds(now - shared.at), parts));
        }
        return ends.empty() ? 0 : builder.CreateVector(ends);
    }

    OptionalVector<wire::PromptPartAge> encodePartTimes(const std::map<std::string, TimePoint> &times) const
    {
        std::vector<flatbuffers::Offset<wire::PromptPartAge>> ages;
        ages.reserve(times.size());
        for (const auto &[part, at] : times) {
            const auto name = builder.CreateString(part);
            ages.push_back(wire::CreatePromptPartAge(builder, name, microseconds(now - at)));
        }
        return ages.empty() ? 0 : builder.CreateVector(ages);
    }

    Encoded reply(const RequestId &id, InstanceId entry, wire::AcquireResult kind, Offset result) const
    {
        const auto content = wire::CreateAcquireReply(builder, id.process, id.sequence, number(entry), kind, result);
        return {wire::PoolContent_AcquireReply, content.Union()};
    }
};

} // namespace

std::string_view toString(PoolCodecError error) noexcept
{
    switch (error) {
    case PoolCodecError::Malformed:
        return "malformed";
    case PoolCodecError::UnknownKind:
        return "unknown-kind";
    case PoolCodecError::ValueOutOfRange:
        return "value-out-of-range";
    }
    return "unknown";
}

std::vector<std::uint8_t> encode(const PoolMessage &message, TimePoint now)
{
    Builder builder;
    const Encoded encoded = std::visit(Encoder{builder, now}, message);
    builder.Finish(wire::CreatePoolMessage(builder, encoded.kind, encoded.content));
    return {builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize()};
}

std::variant<PoolMessage, PoolCodecError> decodePoolMessage(std::span<const std::uint8_t> bytes, TimePoint now)
{
    // The generated accessors read 64-bit numbers in place, so the buffer has to be aligned for them.
    std::vector<std::uint8_t> aligned;
    if (reinterpret_cast<std::uintptr_t>(bytes.data()) % alignof(std::uint64_t) != 0) {
        aligned.assign(bytes.begin(), bytes.end());
        bytes = aligned;
    }
    flatbuffers::Verifier verifier(bytes.data(), bytes.size());
    if (!wire::VerifyPoolMessageBuffer(verifier)) {
        return PoolCodecError::Malformed;
    }
    return convert(*wire::GetPoolMessage(bytes.data()), now);
}

} // namespace mimosahollow::link
