#pragma once

#include "mimosahollow/storage/logstore.h"

#include "logformat.h"

#include <charconv>
#include <deque>
#include <string_view>

namespace mimosahollow::storage {

using control::Bytes;
using control::LogIndex;

inline constexpr std::string_view segmentPrefix = "log-";
inline constexpr std::string_view segmentSuffix = ".segment";
inline constexpr std::string_view snapshotPrefix = "snapshot-";
inline constexpr std::string_view snapshotSuffix = ".data";
inline constexpr std::string_view temporarySuffix = ".temporary";
inline constexpr std::size_t nameDigits = 20; // all of a 64-bit number, so that names sort like numbers

[[nodiscard]] inline std::string numberedName(std::string_view prefix, std::uint64_t number, std::string_view suffix)
{
    const std::string digits = std::to_string(number);
    return std::string(prefix) + std::string(nameDigits - digits.size(), '0') + digits + std::string(suffix);
}

/** Number of a name made by numberedName(). */
[[nodiscard]] inline std::optional<std::uint64_t> nameNumber(std::string_view name, std::string_view prefix, std::string_view suffix)
{
    if (name.size() != prefix.size() + nameDigits + suffix.size() || !name.starts_with(prefix) || !name.ends_with(suffix)) {
        return std::nullopt;
    }
    const std::string_view digits = name.substr(prefix.size(), nameDigits);
    std::uint64_t number = 0;
    const auto result = std::from_chars(digits.data(), digits.data() + digits.size(), number);
    if (result.ec != std::errc() || result.ptr != digits.data() + digits.size()) {
        return std::nullopt;
    }
    return number;
}

[[nodiscard]] inline StorageError converted(const FileError &error)
{
    return {error.isSync ? StorageErrorKind::SyncFailed : StorageErrorKind::FileSystem, error.message};
}

[[nodiscard]] inline std::optional<StorageError> failure(const FileStatus &status)
{
    if (const auto *error = std::get_if<FileError>(&status)) {
        return converted(*error);
    }
    return std::nullopt;
}

struct Segment
{
    std::uint64_t firstSequence = 0;
    LogIndex maximum = 0; /**< Highest entry in it. */
};

/** Operations that are written as one record. */
struct RecordStep
{
    Bytes operations;
    LogIndex lastIndex = 0; /**< Of the log after them. */
    LogIndex maximum = 0; /**< Highest entry among them. */
};

struct SnapshotStep
{
    control::SnapshotPoint point;
    control::SharedBytes data;
};

struct RemoveSnapshotsStep
{
    LogIndex before = 0;
};

struct RemoveSegmentsStep
{
    LogIndex upTo = 0;
};

/** Part of an order that is made durable before the next one begins. Each can be begun again after an operation of it was refused. */
using Step = std::variant<VoteRecord, RecordStep, SnapshotStep, RemoveSnapshotsStep, RemoveSegmentsStep>;

struct LogStore::Impl
{
    FileSystem &files;
    std::string folder;
    LogStoreOptions options;
    std::deque<Segment> segments{}; /**< The last one is written to. */
    std::unique_ptr<AppendFile> active{}; /**< Null: the next record starts a new segment. */
    std::uint64_t activeBytes = 0; /**< Durable bytes of the active segment; 0: it has no header yet. */
    bool isActiveNameDurable = true;
    std::uint64_t nextSequence = 1;
    LogIndex lastIndex = 0; /**< Of the log after all steps. */
    std::deque<Step> steps{}; /**< Not yet durable. */
    bool hasRemains = false; /**< A refused operation may have left a part of a record behind activeBytes, or a temporary file. */
    bool stopped = false;

    [[nodiscard]] std::string path(std::string_view name) const
    {
        return folder + "/" + std::string(name);
    }

    void plan(std::span<const StorageWrite> orders);
    void plan(const control::AppendLog &order);
    void plan(const control::TruncateLog &order);
    void plan(const control::CompactLog &order);
    void plan(const StoreSnapshot &order);
    void planReset(LogIndex index);
    RecordStep &openRecord();

    std::optional<StorageError> carryOutSteps();
    std::optional<StorageError> carryOut(const VoteRecord &vote);
    std::optional<StorageError> carryOut(const RecordStep &record);
    std::optional<StorageError> carryOut(const SnapshotStep &snapshot);
    std::optional<StorageError> carryOut(const RemoveSnapshotsStep &step);
    std::optional<StorageError> carryOut(const RemoveSegmentsStep &step);
    std::optional<StorageError> startSegment();
    std::optional<StorageError> clearRemains();
    void dropUnsynced();
    std::optional<StorageError> removeTemporaryFiles(const std::vector<std::string> &names);
    std::optional<StorageError> replaceFile(const std::string &name, std::span<const std::span<const std::uint8_t>> parts);
    std::optional<StorageError> removeFile(const std::string &name);

    std::optional<StorageError> readVoteFile(const std::vector<std::string> &names, control::DurableLog &content);
    std::optional<StorageError> readSnapshot(const std::vector<std::string> &names, control::DurableLog &content);
    std::optional<StorageError> readSegments(const std::vector<std::string> &names, ReplayedLog &log, std::uint64_t &tornBytes);
    std::optional<StorageError> cutTail(const std::string &name, std::size_t size, std::uint64_t good, std::uint64_t &tornBytes);
    std::optional<StorageError> recover(control::DurableLog &content, std::uint64_t &tornBytes);
};

} // namespace mimosahollow::storage
