#include "mimosahollow/storage/logstore.h"

#include "logstoreimpl.h"

#include <algorithm>
#include <array>
#include <utility>

namespace mimosahollow::storage {

namespace {

std::optional<StorageError> writeAll(AppendFile &file, std::span<const std::uint8_t> data)
{
    while (!data.empty()) {
        const auto result = file.write(data);
        if (const auto *error = std::get_if<FileError>(&result)) {
            return converted(*error);
        }
        const std::size_t written = std::get<std::size_t>(result);
        if (written == 0) {
            return StorageError{StorageErrorKind::FileSystem, "write: the file accepts no more data"};
        }
        data = data.subspan(written);
    }
    return std::nullopt;
}

} // namespace

std::optional<StorageError> LogStore::Impl::startSegment(Bytes &record)
{
    const std::string name = numberedName(segmentPrefix, nextSequence, segmentSuffix);
    auto opened = files.openAppend(path(name));
    if (const auto *error = std::get_if<FileError>(&opened)) {
        return converted(*error);
    }
    active = std::move(std::get<std::unique_ptr<AppendFile>>(opened));
    activeBytes = 0;
    segments.push_back({nextSequence, 0});
    Bytes start;
    writeSegmentHeader(start);
    record.insert(record.begin(), start.begin(), start.end());
    return std::nullopt;
}

/** Writes the collected operations as one record and syncs it. */
std::optional<StorageError> LogStore::Impl::flush()
{
    if (operations.empty()) {
        return std::nullopt;
    }
    Bytes record;
    writeRecord(record, nextSequence, lastIndex, operations);
    // A segment without records has the name that the new one would get.
    const bool isFull = activeBytes >= options.segmentBytes && activeBytes > segmentHeaderBytes;
    const bool isNew = !active || isFull;
    if (isNew) {
        if (auto error = startSegment(record)) {
            return error;
        }
    }
    if (auto error = writeAll(*active, record)) {
        return error;
    }
    if (auto error = failure(active->sync())) {
        return error;
    }
    if (isNew) {
        if (auto error = failure(files.syncFolder(folder))) {
            return error;
        }
    }
    activeBytes += record.size();
    segments.back().maximum = std::max(segments.back().maximum, recordMaximum);
    recordMaximum = 0;
    ++nextSequence;
    operations.clear();
    return std::nullopt;
}

/** Makes @p name hold @p parts, or leaves the old file as it is. */
std::optional<StorageError> LogStore::Impl::replaceFile(const std::string &name, std::span<const std::span<const std::uint8_t>> parts)
{
    const std::string temporary = path(name + std::string(temporarySuffix));
    {
        auto opened = files.openAppend(temporary);
        if (const auto *error = std::get_if<FileError>(&opened)) {
            return converted(*error);
        }
        AppendFile &file = *std::get<std::unique_ptr<AppendFile>>(opened);
        for (const auto part : parts) {
            if (auto error = writeAll(file, part)) {
                return error;
            }
        }
        if (auto error = failure(file.sync())) {
            return error;
        }
    }
    if (auto error = failure(files.rename(temporary, path(name)))) {
        return error;
    }
    return failure(files.syncFolder(folder));
}

std::optional<StorageError> LogStore::Impl::removeFile(const std::string &name)
{
    if (auto error = failure(files.remove(path(name)))) {
        return error;
    }
    return failure(files.syncFolder(folder));
}

std::optional<StorageError> LogStore::Impl::store(const control::SaveVote &order)
{
    const Bytes bytes = writeVote({order.term, order.vote});
    const std::array<std::span<const std::uint8_t>, 1> parts{bytes};
    return replaceFile("vote", parts);
}

std::optional<StorageError> LogStore::Impl::store(const control::AppendLog &order)
{
    for (const control::LogEntry &entry : order.entries) {
        addAppend(operations, entry);
        lastIndex = entry.index;
        recordMaximum = std::max(recordMaximum, entry.index);
        if (operations.size() >= maximumRecordBytes) {
            if (auto error = flush()) {
                return error;
            }
        }
    }
    return std::nullopt;
}

std::optional<StorageError> LogStore::Impl::store(const control::TruncateLog &order)
{
    addTruncate(operations, order.from);
    lastIndex = std::min(lastIndex, order.from - 1);
    return std::nullopt;
}

std::optional<StorageError> LogStore::Impl::store(const control::CompactLog &order)
{
    if (auto error = flush()) {
        return error;
    }
    // One at a time: a crash must not leave a gap between the segments.
    while (segments.size() > 1 && segments.front().maximum <= order.upTo) {
        if (auto error = removeFile(numberedName(segmentPrefix, segments.front().firstSequence, segmentSuffix))) {
            return error;
        }
        segments.pop_front();
    }
    return std::nullopt;
}

std::optional<StorageError> LogStore::Impl::store(const StoreSnapshot &order)
{
    if (auto error = flush()) {
        return error;
    }
    const Bytes header = writeSnapshotHeader(order.point, *order.data);
    const std::array<std::span<const std::uint8_t>, 2> parts{header, *order.data};
    if (auto error = replaceFile(numberedName(snapshotPrefix, order.point.index, snapshotSuffix), parts)) {
        return error;
    }
    if (auto error = removeOldSnapshots(order.point.index)) {
        return error;
    }
    if (order.replacesLog) {
        addReset(operations, order.point.index);
        lastIndex = order.point.index;
    }
    return flush();
}

std::optional<StorageError> LogStore::Impl::removeOldSnapshots(LogIndex newest)
{
    auto names = files.list(folder);
    if (const auto *error = std::get_if<FileError>(&names)) {
        return converted(*error);
    }
    for (const std::string &name : std::get<std::vector<std::string>>(names)) {
        const auto number = nameNumber(name, snapshotPrefix, snapshotSuffix);
        if (number && *number < newest) {
            if (auto error = removeFile(name)) {
                return error;
            }
        }
    }
    return std::nullopt;
}

std::optional<StorageError> LogStore::Impl::writeOrders(std::span<const StorageWrite> orders)
{
    // The newest vote covers the earlier ones of the group. It goes first: entries of a term need the term to be durable.
    for (auto order = orders.rbegin(); order != orders.rend(); ++order) {
        if (const auto *vote = std::get_if<control::SaveVote>(&*order)) {
            if (auto error = store(*vote)) {
                return error;
            }
            break;
        }
    }
    for (const StorageWrite &order : orders) {
        auto error = std::visit(
            [this](const auto &content) -> std::optional<StorageError> {
                if constexpr (std::is_same_v<std::decay_t<decltype(content)>, control::SaveVote>) {
                    return std::nullopt;
                } else {
                    return store(content);
                }
            },
            order);
        if (error) {
            return error;
        }
    }
    return flush();
}

LogStore::LogStore(std::unique_ptr<Impl> impl) : m_impl(std::move(impl))
{
}

LogStore::~LogStore() = default;

std::variant<OpenedLog, StorageError> LogStore::open(FileSystem &files, std::string folder, const LogStoreOptions &options)
{
    if (auto error = failure(files.makeFolder(folder))) {
        return std::move(*error);
    }
    auto impl = std::unique_ptr<Impl>(new Impl{files, std::move(folder), options, {}, nullptr, 0, 1, 0, 0, {}, false});
    OpenedLog opened;
    if (auto error = impl->recover(opened.content, opened.tornBytes)) {
        return std::move(*error);
    }
    opened.store.reset(new LogStore(std::move(impl)));
    return opened;
}

std::optional<StorageError> LogStore::write(std::span<const StorageWrite> orders)
{
    if (m_impl->stopped) {
        return StorageError{StorageErrorKind::Stopped, "an earlier write to " + m_impl->folder + " failed"};
    }
    auto error = m_impl->writeOrders(orders);
    m_impl->stopped = error.has_value();
    return error;
}

} // namespace mimosahollow::storage
