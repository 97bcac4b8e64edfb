#include "logformat.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <optional>
#include <string>

namespace mimosahollow::storage {

namespace {

using control::Bytes;
using control::LogEntry;
using control::LogIndex;

constexpr std::uint64_t segmentMagic = 0x4745534F4C484D00ULL;
constexpr std::uint32_t recordMagic = 0x4352484DU;
constexpr std::uint32_t formatVersion = 1;

enum class Operation : std::uint8_t {
    Append = 1,
    Truncate = 2,
    Reset = 3,
};

struct RecordHeader
{
    std::uint32_t magic = 0;
    std::uint32_t length = 0; /**< Of the operations. */
    std::uint64_t sequence = 0;
    LogIndex lastIndex = 0;
    std::uint64_t checksum = 0; /**< XXH3 of the fields above and the operations. */
};
static_assert(sizeof(RecordHeader) == recordHeaderBytes);

std::uint64_t recordChecksum(const RecordHeader &header, std::span<const std::uint8_t> operations)
{
    const std::uint64_t seed = XXH3_64bits(&header, sizeof(header) - sizeof(header.checksum));
    return XXH3_64bits_withSeed(operations.data(), operations.size(), seed);
}

StorageError damaged(std::string message)
{
    return {StorageErrorKind::DamagedLog, std::move(message)};
}

struct Record
{
    RecordHeader header;
    std::span<const std::uint8_t> operations;
};

std::optional<Record> readRecord(std::span<const std::uint8_t> bytes)
{
    if (bytes.size() < recordHeaderBytes) {
        return std::nullopt;
    }
    Record record;
    std::memcpy(&record.header, bytes.data(), recordHeaderBytes);
    if (record.header.magic != recordMagic || record.header.length > bytes.size() - recordHeaderBytes) {
        return std::nullopt;
    }
    record.operations = bytes.subspan(recordHeaderBytes, record.header.length);
    if (recordChecksum(record.header, record.operations) != record.header.checksum) {
        return std::nullopt;
    }
    return record;
}

/** Whether a later record of the same log lies behind a bad one: then the bad one was durable and is damaged. */
bool hasLaterRecord(std::span<const std::uint8_t> bytes, std::uint64_t sequence)
{
    std::array<std::uint8_t, sizeof(recordMagic)> magic{};
    std::memcpy(magic.data(), &recordMagic, sizeof(recordMagic));
    auto found = bytes.begin();
    while ((found = std::search(found, bytes.end(), magic.begin(), magic.end())) != bytes.end()) {
        const auto record = readRecord(bytes.subspan(static_cast<std::size_t>(found - bytes.begin())));
        if (record && record->header.sequence >= sequence) {
            return true;
        }
        ++found;
    }
    return false;
}

bool applyAppend(ByteReader &reader, ReplayedLog &log)
{
    LogEntry entry;
    const auto kind = reader.number<std::uint8_t>();
    entry.index = reader.number<LogIndex>();
    entry.term = reader.number<control::Term>();
    if (reader.failed || kind > static_cast<std::uint8_t>(control::EntryKind::Members)) {
        return false;
    }
    entry.kind = static_cast<control::EntryKind>(kind);
    if (entry.kind == control::EntryKind::Command) {
        const auto data = reader.bytes(reader.number<std::uint32_t>());
        entry.payload = std::make_shared<const Bytes>(data.begin(), data.end());
    } else if (entry.kind == control::EntryKind::Members) {
        entry.members = readMembers(reader);
    }
    // Without entries, the start is where compaction or a snapshot left it.
    const bool follows = log.entries.empty() ? entry.index > 0 : entry.index == log.lastIndex + 1;
    if (reader.failed || !follows) {
        return false;
    }
    log.lastIndex = entry.index;
    log.segmentMaximum = std::max(log.segmentMaximum, entry.index);
    log.entries.push_back(std::move(entry));
    return true;
}

bool applyOperations(std::span<const std::uint8_t> operations, ReplayedLog &log)
{
    ByteReader reader{operations};
    while (!reader.rest.empty()) {
        const auto operation = static_cast<Operation>(reader.number<std::uint8_t>());
        if (operation == Operation::Append) {
            if (!applyAppend(reader, log)) {
                return false;
            }
            continue;
        }
        const auto index = reader.number<LogIndex>();
        if (reader.failed || (operation != Operation::Truncate && operation != Operation::Reset)) {
            return false;
        }
        if (operation == Operation::Reset) {
            log.entries.clear();
            log.lastIndex = index;
            continue;
        }
        while (!log.entries.empty() && log.entries.back().index >= index) {
            log.entries.pop_back();
        }
        log.lastIndex = std::min(log.lastIndex, index == 0 ? 0 : index - 1);
    }
    return true;
}

/** Good bytes of a segment whose header is bad. */
ReplayResult badHeader(std::span<const std::uint8_t> segment, bool isLast, const ReplayedLog &log)
{
    ByteReader reader{segment};
    const auto magic = reader.number<std::uint64_t>();
    const auto format = reader.number<std::uint32_t>();
    // Formats count from 1: zeros are the place of bytes that were not durable.
    if (segment.size() >= segmentHeaderBytes && magic == segmentMagic && format != 0) {
        return StorageError{StorageErrorKind::UnknownFormat, "the log segment has a format that this program does not know"};
    }
    if (!isLast || hasLaterRecord(segment, log.nextSequence)) {
        return damaged("the header of a log segment is damaged");
    }
    return std::size_t{0};
}

} // namespace

void writeMembers(ByteWriter &writer, const control::Membership &members)
{
    writer.number(static_cast<std::uint32_t>(members.size()));
    for (const control::Member &member : members) {
        writer.number(static_cast<std::uint32_t>(member.id));
        writer.number(static_cast<std::uint8_t>(member.learner));
        writer.number(static_cast<std::uint32_t>(member.address.size()));
        writer.bytes({reinterpret_cast<const std::uint8_t *>(member.address.data()), member.address.size()});
    }
}

control::Membership readMembers(ByteReader &reader)
{
    control::Membership members;
    const auto count = reader.number<std::uint32_t>();
    for (std::uint32_t i = 0; i < count && !reader.failed; ++i) {
        control::Member member;
        member.id = static_cast<control::VoterId>(reader.number<std::uint32_t>());
        member.learner = reader.number<std::uint8_t>() != 0;
        const auto address = reader.bytes(reader.number<std::uint32_t>());
        member.address.assign(address.begin(), address.end());
        members.push_back(std::move(member));
    }
    return members;
}

void writeSegmentHeader(Bytes &out)
{
    ByteWriter writer{out};
    writer.number(segmentMagic);
    writer.number(formatVersion);
    writer.number(std::uint32_t{0});
}

void addAppend(Bytes &operations, const LogEntry &entry)
{
    ByteWriter writer{operations};
    writer.number(static_cast<std::uint8_t>(Operation::Append));
    writer.number(static_cast<std::uint8_t>(entry.kind));
    writer.number(entry.index);
    writer.number(entry.term);
    if (entry.kind == control::EntryKind::Command) {
        const std::span<const std::uint8_t> payload = entry.payload ? std::span<const std::uint8_t>(*entry.payload) : std::span<const std::uint8_t>();
        writer.number(static_cast<std::uint32_t>(payload.size()));
        writer.bytes(payload);
    } else if (entry.kind == control::EntryKind::Members) {
        writeMembers(writer, entry.members);
    }
}

void addTruncate(Bytes &operations, LogIndex from)
{
    ByteWriter writer{operations};
    writer.number(static_cast<std::uint8_t>(Operation::Truncate));
    writer.number(from);
}

void addReset(Bytes &operations, LogIndex index)
{
    ByteWriter writer{operations};
    writer.number(static_cast<std::uint8_t>(Operation::Reset));
    writer.number(index);
}

void writeRecord(Bytes &out, std::uint64_t sequence, LogIndex lastIndex, std::span<const std::uint8_t> operations)
{
    RecordHeader header{recordMagic, static_cast<std::uint32_t>(operations.size()), sequence, lastIndex, 0};
    header.checksum = recordChecksum(header, operations);
    ByteWriter writer{out};
    writer.bytes({reinterpret_cast<const std::uint8_t *>(&header), sizeof(header)});
    writer.bytes(operations);
}

ReplayResult replaySegment(std::span<const std::uint8_t> segment, bool isLast, ReplayedLog &log)
{
    log.segmentMaximum = 0;
    Bytes header;
    writeSegmentHeader(header);
    if (segment.size() < header.size() || !std::equal(header.begin(), header.end(), segment.begin())) {
        return badHeader(segment, isLast, log);
    }
    std::size_t offset = segmentHeaderBytes;
    while (offset < segment.size()) {
        const auto rest = segment.subspan(offset);
        const auto record = readRecord(rest);
        if (!record) {
            if (!isLast || hasLaterRecord(rest, log.nextSequence)) {
                return damaged("record " + std::to_string(log.nextSequence) + " of the log is damaged, at byte " + std::to_string(offset) + " of its segment");
            }
            return offset;
        }
        if (log.nextSequence != 0 && record->header.sequence != log.nextSequence) {
            return damaged("record " + std::to_string(log.nextSequence) + " of the log is missing");
        }
        const bool applied = applyOperations(record->operations, log);
        if (applied && log.entries.empty()) {
            // Compaction may have removed what came before.
            log.lastIndex = record->header.lastIndex;
        }
        if (!applied || record->header.lastIndex != log.lastIndex) {
            return damaged("record " + std::to_string(record->header.sequence) + " of the log does not continue the one before");
        }
        log.nextSequence = record->header.sequence + 1;
        offset += recordHeaderBytes + record->operations.size();
    }
    return offset;
}

} // namespace mimosahollow::storage
