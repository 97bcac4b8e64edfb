#pragma once

#include "mimosahollow/storage/logstore.h"

#include "bytes.h"

namespace mimosahollow::storage {

// A segment is a header and records. A record holds all operations of one group commit: it is written at once and synced
// before the next one, so that only the last record of the last segment can be torn.

inline constexpr std::size_t segmentHeaderBytes = 16;
inline constexpr std::size_t recordHeaderBytes = 32;
/** Larger groups are split and synced one by one. */
inline constexpr std::size_t maximumRecordBytes = 16UL * 1024 * 1024;

void writeSegmentHeader(control::Bytes &out);

void addAppend(control::Bytes &operations, const control::LogEntry &entry);
void addTruncate(control::Bytes &operations, control::LogIndex from);
/** The log continues after @p index; all entries before are gone. */
void addReset(control::Bytes &operations, control::LogIndex index);

/** @p lastIndex is the last entry of the log after the record. */
void writeRecord(control::Bytes &out, std::uint64_t sequence, control::LogIndex lastIndex, std::span<const std::uint8_t> operations);

/** The log as the records read so far leave it. */
struct ReplayedLog
{
    std::vector<control::LogEntry> entries;
    control::LogIndex lastIndex = 0;
    std::uint64_t nextSequence = 0; /**< 0 before the first record. */
    control::LogIndex segmentMaximum = 0; /**< Highest entry in the segment that was read last. */
};

/** Bytes of the segment that are good; fewer than its size when the last record is torn. */
using ReplayResult = std::variant<std::size_t, StorageError>;

/** Applies all records of one segment. Only the last segment may have a torn record. */
[[nodiscard]] ReplayResult replaySegment(std::span<const std::uint8_t> segment, bool isLast, ReplayedLog &log);

/** Contents of the vote file. */
struct VoteRecord
{
    control::Term term = 0;
    control::VoterId vote{};
};

[[nodiscard]] control::Bytes writeVote(const VoteRecord &vote);
[[nodiscard]] std::variant<VoteRecord, StorageError> readVote(std::span<const std::uint8_t> bytes);

[[nodiscard]] control::Bytes writeSnapshotHeader(const control::SnapshotPoint &point, std::span<const std::uint8_t> data);

struct SnapshotFile
{
    control::SnapshotPoint point;
    control::SharedBytes data;
};

[[nodiscard]] std::variant<SnapshotFile, StorageError> readSnapshotFile(std::span<const std::uint8_t> bytes);

} // namespace mimosahollow::storage
