#pragma once

#include "mimosahollow/rings/boundedring.h"
#include "mimosahollow/storage/logstore.h"

#include <functional>
#include <thread>
#include <variant>

namespace mimosahollow::storage {

/** All writes up to @c write are durable. */
struct StorageSynced
{
    control::WriteNumber write = 0;
};

/** The snapshot up to @c index is durable. */
struct SnapshotStored
{
    control::LogIndex index = 0;
    bool replacesLog = false;
    control::SharedBytes data;
};

/** Nothing is acknowledged from now on. Reported once. */
struct StorageFailed
{
    StorageError error;
};

using StorageEvent = std::variant<StorageSynced, SnapshotStored, StorageFailed>;

/**
 * The storage thread: takes all waiting orders, writes them and syncs once for all of them (group commit).
 * The destructor waits for the orders that were accepted.
 */
class LogWriter
{
public:
    /** @p report is called on the storage thread and must not block for long. */
    LogWriter(std::unique_ptr<LogStore> store, std::size_t capacity, std::function<void(StorageEvent)> report);
    LogWriter(const LogWriter &) = delete;
    LogWriter &operator=(const LogWriter &) = delete;
    ~LogWriter();

    /** Returns false when the ring is full; the caller keeps the order and tries again. Called by the control thread. */
    [[nodiscard]] bool tryPush(StorageWrite &order);

private:
    void run();

    struct Stop
    {
    };
    using Element = std::variant<StorageWrite, Stop>;

    std::unique_ptr<LogStore> m_store;
    std::function<void(StorageEvent)> m_report;
    BoundedRing<Element> m_ring;
    std::thread m_thread;
};

} // namespace mimosahollow::storage
