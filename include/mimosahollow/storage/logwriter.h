#pragma once

#include "mimosahollow/rings/boundedring.h"
#include "mimosahollow/storage/logstore.h"

#include <cstdint>
#include <functional>
#include <span>
#include <thread>
#include <variant>
#include <vector>

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

/** The file system refuses writes. The orders wait and are tried again; nothing is acknowledged until StorageResumed. */
struct StorageRefused
{
    StorageError error;
};

/** All orders that waited are durable. */
struct StorageResumed
{
};

/** Nothing is acknowledged from now on. Reported once. */
struct StorageFailed
{
    StorageError error;
};

using StorageEvent = std::variant<StorageSynced, SnapshotStored, StorageRefused, StorageResumed, StorageFailed>;

/**
 * The storage thread: takes all waiting orders, writes them and syncs once for all of them (group commit).
 * Orders that the file system refuses are tried again several times a second.
 * The destructor waits for the orders that were accepted, unless they are refused or have failed.
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
    enum class State : std::uint8_t {
        Working,
        Refused, /**< Orders wait for the file system. */
        Failed,
    };

    void run();
    /** Takes orders until there is one, or the next try of those that wait is due. Returns false at the end. */
    [[nodiscard]] bool takeOrders(std::vector<StorageWrite> &orders);
    void writeOrders(std::span<const StorageWrite> orders);
    void reportDurable();

    struct Stop
    {
    };
    using Element = std::variant<StorageWrite, Stop>;

    std::unique_ptr<LogStore> m_store;
    std::function<void(StorageEvent)> m_report;
    BoundedRing<Element> m_ring;
    State m_state = State::Working;
    std::vector<StorageWrite> m_unreported; // orders that the store has got and that are not durable
    std::thread m_thread;
};

} // namespace mimosahollow::storage
