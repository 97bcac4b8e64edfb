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
    return {StorageErrorKind::FileSystem, error.message};
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

struct LogStore::Impl
{
    FileSystem &files;
    std::string folder;
    LogStoreOptions options;
    std::deque<Segment> segments; /**< The last one is written to. */
    std::unique_ptr<AppendFile> active; /**< Null: the next record starts a new segment. */
    std::uint64_t activeBytes = 0;
    std::uint64_t nextSequence = 1;
    LogIndex lastIndex = 0;
    LogIndex recordMaximum = 0; /**< Highest entry of the operations below. */
    Bytes operations; /**< Of the record that is being put together. */
    bool stopped = false;

    [[nodiscard]] std::string path(std::string_view name) const
    {
        return folder + "/" + std::string(name);
    }

    std::optional<StorageError> startSegment(Bytes &record);
    std::optional<StorageError> flush();
    std::optional<StorageError> replaceFile(const std::string &name, std::span<const std::span<const std::uint8_t>> parts);
    std::optional<StorageError> removeFile(const std::string &name);
    std::optional<StorageError> store(const control::SaveVote &order);
    std::optional<StorageError> store(const control::AppendLog &order);
    std::optional<StorageError> store(const control::TruncateLog &order);
    std::optional<StorageError> store(const control::CompactLog &order);
    std::optional<StorageError> store(const StoreSnapshot &order);
    std::optional<StorageError> writeOrders(std::span<const StorageWrite> orders);

    std::optional<StorageError> removeOldSnapshots(LogIndex newest);
    std::optional<StorageError> readVoteFile(const std::vector<std::string> &names, control::DurableLog &content);
    std::optional<StorageError> readSnapshot(const std::vector<std::string> &names, control::DurableLog &content);
    std::optional<StorageError> readSegments(const std::vector<std::string> &names, ReplayedLog &log, std::uint64_t &tornBytes);
    std::optional<StorageError> cutTail(const std::string &name, std::size_t size, std::size_t good, std::uint64_t &tornBytes);
    std::optional<StorageError> recover(control::DurableLog &content, std::uint64_t &tornBytes);
};

} // namespace mimosahollow::storage
