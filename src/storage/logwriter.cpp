#include "mimosahollow/storage/logwriter.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace mimosahollow::storage {

namespace {

constexpr std::chrono::nanoseconds idleWait = std::chrono::seconds(1); // the ring wakes the thread; the limit only bounds a wait
constexpr std::chrono::milliseconds retryInterval(100); // a refused write costs little, and the voter is missed until one succeeds

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

bool LogWriter::takeOrders(std::vector<StorageWrite> &orders)
{
    const auto nextTry = std::chrono::steady_clock::now() + retryInterval;
    bool isStopping = false;
    std::vector<Element> taken;
    do {
        taken.clear();
        const auto wait = m_state == State::Refused ? nextTry - std::chrono::steady_clock::now() : idleWait;
        m_ring.waitAndTake(taken, wait);
        for (Element &element : taken) {
            if (auto *order = std::get_if<StorageWrite>(&element)) {
                orders.push_back(std::move(*order));
            } else {
                isStopping = true;
            }
        }
    } while (m_state == State::Refused && !isStopping && std::chrono::steady_clock::now() < nextTry);
    return !isStopping;
}

void LogWriter::writeOrders(std::span<const StorageWrite> orders)
{
    if (auto error = m_store->write(orders)) {
        const bool isRefused = error->kind == StorageErrorKind::FileSystem;
        const State before = std::exchange(m_state, isRefused ? State::Refused : State::Failed);
        if (!isRefused) {
            m_report(StorageFailed{std::move(*error)});
        } else if (before == State::Working) {
            m_report(StorageRefused{std::move(*error)});
        }
        return;
    }
    reportDurable();
    if (std::exchange(m_state, State::Working) == State::Refused) {
        m_report(StorageResumed{});
    }
}

void LogWriter::reportDurable()
{
    control::WriteNumber last = 0;
    for (StorageWrite &order : m_unreported) {
        last = std::max(last, writeNumber(order));
        if (auto *snapshot = std::get_if<StoreSnapshot>(&order)) {
            m_report(SnapshotStored{snapshot->point.index, snapshot->replacesLog, std::move(snapshot->data)});
        }
    }
    m_unreported.clear();
    if (last != 0) {
        m_report(StorageSynced{last});
    }
}

void LogWriter::run()
{
    bool isRunning = true;
    while (isRunning) {
        std::vector<StorageWrite> orders;
        isRunning = takeOrders(orders);
        if (m_state == State::Failed || (orders.empty() && m_state == State::Working)) {
            continue;
        }
        const std::size_t first = m_unreported.size();
        m_unreported.insert(m_unreported.end(), std::make_move_iterator(orders.begin()), std::make_move_iterator(orders.end()));
        writeOrders(std::span(m_unreported).subspan(first));
    }
}

} // namespace mimosahollow::storage
