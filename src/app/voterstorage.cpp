#include "voterstorage.h"

#include "mimosahollow/storage/logstore.h"

namespace mimosahollow::app {

namespace {

constexpr std::size_t ringOrders = 4096;

/** What a disk would report for @p order, for a fleet of one that keeps nothing. */
storage::StorageEvent syncedAtOnce(const control::StorageWrite &order)
{
    return std::visit(
        [](const auto &content) -> storage::StorageEvent {
            if constexpr (std::is_same_v<std::decay_t<decltype(content)>, control::StoreSnapshot>) {
                return storage::SnapshotStored{content.point.index, content.replacesLog, content.data};
            } else {
                return storage::StorageSynced{content.write};
            }
        },
        order);
}

} // namespace

VoterStorage::VoterStorage(std::string dataFolder, std::function<void(storage::StorageEvent)> report, std::unique_ptr<storage::FileSystem> files)
    : m_dataFolder(std::move(dataFolder)), m_report(std::move(report)), m_files(std::move(files))
{
}

VoterStorage::~VoterStorage() = default;

std::variant<control::DurableLog, std::string> VoterStorage::open()
{
    if (m_dataFolder.empty()) {
        return control::DurableLog{};
    }
    auto opened = storage::LogStore::open(*m_files, m_dataFolder);
    if (const auto *error = std::get_if<storage::StorageError>(&opened)) {
        return error->message;
    }
    auto &log = std::get<storage::OpenedLog>(opened);
    control::DurableLog content = std::move(log.content);
    m_writer = std::make_unique<storage::LogWriter>(std::move(log.store), ringOrders, m_report);
    return content;
}

void VoterStorage::write(control::StorageWrite order)
{
    if (!m_writer) {
        m_report(syncedAtOnce(order));
        return;
    }
    m_kept.push_back(std::move(order));
    flush();
}

void VoterStorage::flush()
{
    while (!m_kept.empty() && m_writer->tryPush(m_kept.front())) {
        m_kept.pop_front();
    }
}

} // namespace mimosahollow::app
