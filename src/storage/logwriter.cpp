#include "mimosahollow/storage/logwriter.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace mimosahollow::storage {

namespace {

constexpr std::chrono::seconds idleWait(1); // the ring wakes the thread; the limit only bounds a wait

control::WriteNumber writeNumber(const StorageWrite &order)
{
    return std::visit(
        [](const auto &content) {
            return content.write;
        },
        order);
}

} // namespace

LogWriter::LogWriter(std::unique_ptr<LogStore> store, std::size_t capacity, std::function<void(StorageEvent)> report)
    : m_store(std::move(store))
    , m_report(std::move(report))
    , m_ring(capacity + 1) // one place is kept for the end
    , m_thread([this] {
        run();
    })
{
}

LogWriter::~LogWriter()
{
    Element stop = Stop{};
    while (!m_ring.tryPush(stop)) {
        std::this_thread::yield();
    }
    m_thread.join();
}

bool LogWriter::tryPush(StorageWrite &order)
{
    Element element = std::move(order);
    if (m_ring.tryPush(element)) {
        return true;
    }
    order = std::move(std::get<StorageWrite>(element));
    return false;
}

void LogWriter::run()
{
    std::vector<Element> taken;
    std::vector<StorageWrite> orders;
    bool stopping = false;
    bool failed = false;
    while (!stopping) {
        taken.clear();
        orders.clear();
        m_ring.waitAndTake(taken, idleWait);
        for (Element &element : taken) {
            if (auto *order = std::get_if<StorageWrite>(&element)) {
                orders.push_back(std::move(*order));
            } else {
                stopping = true;
            }
        }
        if (orders.empty() || failed) {
            continue;
        }
        if (auto error = m_store->write(orders)) {
            failed = true;
            m_report(StorageFailed{std::move(*error)});
            continue;
        }
        control::WriteNumber last = 0;
        for (StorageWrite &order : orders) {
            last = std::max(last, writeNumber(order));
            if (auto *snapshot = std::get_if<StoreSnapshot>(&order)) {
                m_report(SnapshotStored{snapshot->point.index, snapshot->replacesLog, std::move(snapshot->data)});
            }
        }
        if (last != 0) {
            m_report(StorageSynced{last});
        }
    }
}

} // namespace mimosahollow::storage
