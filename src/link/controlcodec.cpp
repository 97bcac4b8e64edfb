#include "mimosahollow/link/controlcodec.h"

#include "control/wire.h"

#include <type_traits>
#include <utility>

namespace mimosahollow::link {

namespace {

using namespace control;

/** Frames hold at most 4 MiB, and the smallest table takes 8 bytes. */
constexpr flatbuffers::uoffset_t maximumTables = 1'000'000;

template<typename Root>
Bytes finish(Builder &builder, Offset<Root> root)
{
    builder.Finish(root);
    return {builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize()};
}

CodecError malformed(const char *kind)
{
    return {std::string("not a valid ") + kind};
}

Offset<WireTables<wire::Member>> packMembers(Builder &builder, const Membership &members)
{
    return packAll<wire::Member>(builder, members, [&builder](const Member &member) {
        return wire::CreateMember(builder, static_cast<std::uint32_t>(member.id), builder.CreateString(member.address), member.learner);
    });
}

Membership unpackMembers(const WireTables<wire::Member> *list)
{
    Membership members;
    WireReader::forEach(list, [&members](const wire::Member &table) {
        members.push_back({static_cast<VoterId>(table.id()), WireReader::text(table.address()), table.learner()});
    });
    return members;
}

Offset<wire::Entry> packEntry(Builder &builder, const LogEntry &entry)
{
    const auto payload = entry.payload ? builder.CreateVector(*entry.payload) : Offset<WireVector<std::uint8_t>>();
    const auto members = entry.members.empty() ? Offset<WireTables<wire::Member>>() : packMembers(builder, entry.members);
    return wire::CreateEntry(builder, entry.term, static_cast<std::uint8_t>(entry.kind), payload, members);
}

struct MessagePacker
{
    Builder &builder;

    Offset<void> operator()(const VoteRequest &message) const
    {
        return wire::CreateVoteRequest(builder, message.term, message.lastIndex, message.lastTerm, message.preVote).Union();
    }
    Offset<void> operator()(const VoteReply &message) const
    {
        return wire::CreateVoteReply(builder, message.term, message.preVote, message.granted).Union();
    }
    Offset<void> operator()(const AppendRequest &message) const
    {
        const auto entries = packAll<wire::Entry>(builder, message.entries, [this](const LogEntry &entry) {
            return packEntry(builder, entry);
        });
        return wire::CreateAppendRequest(builder, message.term, message.previousIndex, message.previousTerm, message.commitIndex, message.round, entries)
            .Union();
    }
    Offset<void> operator()(const AppendReply &message) const
    {
        return wire::CreateAppendReply(builder, message.term, message.round, message.accepted, message.matchIndex).Union();
    }
    Offset<void> operator()(const SnapshotChunk &message) const
    {
        const auto members = packMembers(builder, message.point.members);
        const auto data = builder.CreateVector(message.data);
        return wire::CreateSnapshotChunk(
                   builder, message.term, message.round, message.point.index, message.point.term, members, message.size, message.offset, data)
            .Union();
    }
    Offset<void> operator()(const SnapshotReply &message) const
    {
        return wire::CreateSnapshotReply(builder, message.term, message.round, message.index, message.received).Union();
    }
};

AppendRequest unpackAppendRequest(WireReader &reader, const wire::AppendRequest &table)
{
    AppendRequest message{table.term(), table.previous_index(), table.previous_term(), table.commit_index(), table.round(), {}};
    LogIndex index = table.previous_index();
    reader.forEach(table.entries(), [&](const wire::Entry &from) {
        LogEntry entry;
        entry.index = ++index;
        entry.term = from.term();
        entry.kind = reader.enumerator(from.kind(), EntryKind::Members);
        if (entry.kind == EntryKind::Command) {
            entry.payload =
                from.payload() != nullptr ? std::make_shared<const Bytes>(from.payload()->begin(), from.payload()->end()) : std::make_shared<const Bytes>();
        } else if (entry.kind == EntryKind::Members) {
            entry.members = unpackMembers(from.members());
            reader.failed = reader.failed || entry.members.empty();
        }
        reader.failed = reader.failed || index == 0 || entry.term > table.term();
        message.entries.push_back(std::move(entry));
    });
    return message;
}

ConsensusMessage unpackMessage(WireReader &reader, const wire::ConsensusMessage &table)
{
    switch (table.body_type()) {
    case wire::ConsensusBody_VoteRequest: {
        const auto &body = *table.body_as_VoteRequest();
        return VoteRequest{body.term(), body.last_index(), body.last_term(), body.pre_vote()};
    }
    case wire::ConsensusBody_VoteReply: {
        const auto &body = *table.body_as_VoteReply();
        return VoteReply{body.term(), body.pre_vote(), body.granted()};
    }
    case wire::ConsensusBody_AppendRequest:
        return unpackAppendRequest(reader, *table.body_as_AppendRequest());
    case wire::ConsensusBody_AppendReply: {
        const auto &body = *table.body_as_AppendReply();
        return AppendReply{body.term(), body.round(), body.accepted(), body.match_index()};
    }
    case wire::ConsensusBody_SnapshotChunk: {
        const auto &body = *table.body_as_SnapshotChunk();
        SnapshotChunk chunk{body.term(), body.round(), {body.index(), body.snapshot_term(), unpackMembers(body.members())}, body.size(), body.offset(), {}};
        if (body.data() != nullptr) {
            chunk.data.assign(body.data()->begin(), body.data()->end());
        }
        reader.failed = reader.failed || chunk.point.index == 0 || chunk.data.empty();
        return chunk;
    }
    case wire::ConsensusBody_SnapshotReply: {
        const auto &body = *table.body_as_SnapshotReply();
        return SnapshotReply{body.term(), body.round(), body.index(), body.received()};
    }
    case wire::ConsensusBody_NONE:
        break;
    }
    reader.failed = true;
    return {};
}

} // namespace

Bytes encode(const ConsensusMessage &message)
{
    Builder builder;
    const auto body = std::visit(MessagePacker{builder}, message);
    // The enumerators of the union follow the order of the variant.
    const auto type = static_cast<wire::ConsensusBody>(message.index() + 1);
    return finish(builder, wire::CreateConsensusMessage(builder, type, body));
}

Decoded<ConsensusMessage> decodeConsensusMessage(std::span<const std::uint8_t> bytes)
{
    Bytes copy;
    const auto *table = verifiedRoot<wire::ConsensusMessage>(bytes, copy, maximumTables);
    if (table == nullptr) {
        return malformed("consensus message");
    }
    WireReader reader;
    ConsensusMessage message = unpackMessage(reader, *table);
    if (reader.failed) {
        return malformed("consensus message");
    }
    return message;
}

Bytes encode(const CommandResult &result)
{
    Builder builder;
    const auto message = builder.CreateString(result.message);
    const auto answer = builder.CreateString(result.responseBody);
    return finish(builder, wire::CreateCommandResult(builder, static_cast<std::uint8_t>(result.outcome), message, result.number, answer));
}

Decoded<CommandResult> decodeCommandResult(std::span<const std::uint8_t> bytes)
{
    Bytes copy;
    const auto *table = verifiedRoot<wire::CommandResult>(bytes, copy, maximumTables);
    if (table == nullptr) {
        return malformed("command result");
    }
    WireReader reader;
    CommandResult result{
        reader.enumerator(table->outcome(), CommandOutcome::TooManyCalls), reader.text(table->message()), table->number(), reader.text(table->answer())};
    if (reader.failed) {
        return malformed("command result");
    }
    return result;
}

Bytes encode(const Configuration &configuration)
{
    Builder builder;
    return finish(builder, packConfiguration(builder, configuration));
}

Decoded<std::shared_ptr<const Configuration>> decodeConfiguration(std::span<const std::uint8_t> bytes)
{
    Bytes copy;
    const auto *table = verifiedRoot<wire::Configuration>(bytes, copy, maximumTables);
    if (table == nullptr) {
        return malformed("configuration");
    }
    WireReader reader;
    auto configuration = std::make_shared<const Configuration>(unpackConfiguration(reader, *table));
    if (reader.failed) {
        return malformed("configuration");
    }
    return configuration;
}

Bytes encode(const Increment &increment)
{
    Builder builder;
    return finish(builder, packIncrement(builder, increment));
}

Decoded<Increment> decodeIncrement(std::span<const std::uint8_t> bytes)
{
    Bytes copy;
    const auto *table = verifiedRoot<wire::Increment>(bytes, copy, maximumTables);
    if (table == nullptr) {
        return malformed("increment");
    }
    WireReader reader;
    Increment increment = unpackIncrement(reader, *table);
    if (reader.failed) {
        return malformed("increment");
    }
    return increment;
}

} // namespace mimosahollow::link
