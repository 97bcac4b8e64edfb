#pragma once

#include "mimosahollow/control/consensus.h"
#include "mimosahollow/control/storagewrite.h"
#include "mimosahollow/storage/filesystem.h"
#include "mimosahollow/storage/logwriter.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace mimosahollow::app {

/** Where a voter's log is kept: files in the data folder, or nowhere for a trial fleet of one without a data folder. */
class VoterStorage
{
public:
    /** @p report is called on the storage thread, or within write() when there is no data folder. */
    VoterStorage(std::string dataFolder,
                 std::function<void(storage::StorageEvent)> report,
                 std::unique_ptr<storage::FileSystem> files = storage::posixFileSystem());
    ~VoterStorage();
    VoterStorage(const VoterStorage &) = delete;
    VoterStorage &operator=(const VoterStorage &) = delete;

    /** Reads the log and starts the storage thread. */
    [[nodiscard]] std::variant<control::DurableLog, std::string> open();

    /** Queues an order. Orders that the ring cannot take are kept, in order, until flush(). */
    void write(control::StorageWrite order);
    void flush();

private:
    std::string m_dataFolder;
    std::function<void(storage::StorageEvent)> m_report;
    std::unique_ptr<storage::FileSystem> m_files;
    std::unique_ptr<storage::LogWriter> m_writer;
    std::deque<control::StorageWrite> m_kept; // bounded by the uncommitted entries of the replicated log
};

} // namespace mimosahollow::app
