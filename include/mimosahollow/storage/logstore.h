#pragma once

#include "mimosahollow/control/consensus.h"
#include "mimosahollow/control/storagewrite.h"
#include "mimosahollow/storage/filesystem.h"

#include <deque>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <variant>

namespace mimosahollow::storage {

enum class StorageErrorKind : std::uint8_t {
    FileSystem, /**< An operation was refused; the message has the reason of the operating system. */
    SyncFailed, /**< The operating system could not make data durable; it is not known what the disk holds. */
    DamagedLog, /**< A record that is not the last one fails its checksum, or records are missing. */
    DamagedSnapshot,
    DamagedVote,
    UnknownFormat,
    Stopped, /**< An earlier sync failed; nothing is acknowledged any more. */
};

struct StorageError
{
    StorageErrorKind kind{};
    std::string message;
};

using control::StorageWrite;
using control::StoreSnapshot;

struct LogStoreOptions
{
    std::uint64_t segmentBytes = 16ULL * 1024 * 1024; /**< A segment that is larger is followed by a new one. */
};

struct OpenedLog;

/**
 * Log segments, snapshots and the vote of one voter in one folder. Not thread-safe; LogWriter gives it a thread of its own.
 *
 * Orders that the file system refuses, for example because the disk is full, wait for retry(); what was durable stays so. After a failed sync the
 * store refuses everything: the operating system may have dropped the data and report success the next time.
 */
class LogStore
{
public:
    /** Reads everything, cuts off a torn last record, and refuses damaged files. */
    [[nodiscard]] static std::variant<OpenedLog, StorageError> open(FileSystem &files, std::string folder, const LogStoreOptions &options = {});

    LogStore(const LogStore &) = delete;
    LogStore &operator=(const LogStore &) = delete;
    ~LogStore();

    /** Carries out @p orders after those that wait. Without an error, all of them are durable on return; after FileSystem, all of them wait. */
    [[nodiscard]] std::optional<StorageError> write(std::span<const StorageWrite> orders);
    /** Carries out the orders that wait, as write() does. */
    [[nodiscard]] std::optional<StorageError> retry();

private:
    struct Impl;
    explicit LogStore(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

struct OpenedLog
{
    std::unique_ptr<LogStore> store;
    control::DurableLog content;
    std::uint64_t tornBytes = 0; /**< Bytes of a torn last record that were cut off. */
};

} // namespace mimosahollow::storage
