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
    FileSystem, /**< An operation failed; the message has the reason of the operating system. */
    DamagedLog, /**< A record that is not the last one fails its checksum, or records are missing. */
    DamagedSnapshot,
    DamagedVote,
    UnknownFormat,
    Stopped, /**< An earlier write failed; nothing is acknowledged any more. */
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
 * After a failed write the store refuses every further one: what the failed write left behind is not known.
 */
class LogStore
{
public:
    /** Reads everything, cuts off a torn last record, and refuses damaged files. */
    [[nodiscard]] static std::variant<OpenedLog, StorageError> open(FileSystem &files, std::string folder, const LogStoreOptions &options = {});

    LogStore(const LogStore &) = delete;
    LogStore &operator=(const LogStore &) = delete;
    ~LogStore();

    /** Carries out @p orders in their order. Without an error, all of them are durable on return. */
    [[nodiscard]] std::optional<StorageError> write(std::span<const StorageWrite> orders);

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
