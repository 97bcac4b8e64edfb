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

/** Plans @p orders of one group. The record that earlier orders have begun may grow, since it is not durable. */
void LogStore::Impl::plan(std::span<const StorageWrite> orders)
{
    // The newest vote covers the earlier ones of the group. It goes first: entries of a term need the term to be durable.
    for (auto order = orders.rbegin(); order != orders.rend(); ++order) {
        if (const auto *vote = std::get_if<control::SaveVote>(&*order)) {
            steps.emplace_back(VoteRecord{vote->term, vote->vote});
            break;
        }
    }
    for (const StorageWrite &order : orders) {
        std::visit(
            [this](const auto &content) {
                if constexpr (!std::is_same_v<std::decay_t<decltype(content)>, control::SaveVote>) {
                    plan(content);
                }
            },
            order);
    }
}

RecordStep &LogStore::Impl::openRecord()
{
    const auto *last = steps.empty() ? nullptr : std::get_if<RecordStep>(&steps.back());
    if (last == nullptr || last->operations.size() >= maximumRecordBytes) {
        steps.emplace_back(RecordStep{});
    }
    return std::get<RecordStep>(steps.back());
}

void LogStore::Impl::plan(const control::AppendLog &order)
{
    for (const control::LogEntry &entry : order.entries) {
        RecordStep &record = openRecord();
        addAppend(record.operations, entry);
        lastIndex = entry.index;
        record.lastIndex = lastIndex;
        record.maximum = std::max(record.maximum, entry.index);
    }
}

void LogStore::Impl::plan(const control::TruncateLog &order)
{
    RecordStep &record = openRecord();
    addTruncate(record.operations, order.from);
    lastIndex = std::min(lastIndex, order.from - 1);
    record.lastIndex = lastIndex;
}

void LogStore::Impl::plan(const control::CompactLog &order)
{
    steps.emplace_back(RemoveSegmentsStep{order.upTo});
}

void LogStore::Impl::plan(const StoreSnapshot &order)
{
    steps.emplace_back(SnapshotStep{order.point, order.data});
    steps.emplace_back(RemoveSnapshotsStep{order.point.index});
    if (order.replacesLog) {
        planReset(order.point.index);
    }
}

void LogStore::Impl::planReset(LogIndex index)
{
    RecordStep &record = openRecord();
    addReset(record.operations, index);
    lastIndex = index;
    record.lastIndex = lastIndex;
}

std::optional<StorageError> LogStore::Impl::carryOutSteps()
{
    if (hasRemains) {
        if (auto error = clearRemains()) {
            return error;
        }
    }
    while (!steps.empty()) {
        auto error = std::visit(
            [this](const auto &step) {
                return carryOut(step);
            },
            steps.front());
        if (error) {
            hasRemains = true;
            return error;
        }
        steps.pop_front();
    }
    return std::nullopt;
}

/** Undoes what refused operations have done in part, so that their steps can begin again. */
std::optional<StorageError> LogStore::Impl::clearRemains()
{
    if (active) {
        // Before the record is written again: a reader must not find a later record behind a torn one.
        if (auto error = failure(files.truncate(path(numberedName(segmentPrefix, segments.back().firstSequence, segmentSuffix)), activeBytes))) {
            return error;
        }
    }
    auto names = files.list(folder);
    if (const auto *error = std::get_if<FileError>(&names)) {
        return converted(*error);
    }
    if (auto error = removeTemporaryFiles(std::get<std::vector<std::string>>(names))) {
        return error;
    }
    hasRemains = false;
    return std::nullopt;
}

/**
 * Cuts off what was written since the last sync that succeeded. A restarted process would read it from the page cache and take it for durable.
 * Whether that succeeds changes nothing: the store has stopped.
 */
void LogStore::Impl::dropUnsynced()
{
    if (active) {
        static_cast<void>(files.truncate(path(numberedName(segmentPrefix, segments.back().firstSequence, segmentSuffix)), activeBytes));
    }
}

std::optional<StorageError> LogStore::Impl::startSegment()
{
    const std::string name = numberedName(segmentPrefix, nextSequence, segmentSuffix);
    auto opened = files.openAppend(path(name));
    if (const auto *error = std::get_if<FileError>(&opened)) {
        return converted(*error);
    }
    active = std::move(std::get<std::unique_ptr<AppendFile>>(opened));
    activeBytes = 0;
    isActiveNameDurable = false;
    segments.push_back({nextSequence, 0});
    return std::nullopt;
}

std::optional<StorageError> LogStore::Impl::carryOut(const RecordStep &record)
{
    // A segment without records has the name that the new one would get.
    const bool isFull = activeBytes >= options.segmentBytes && activeBytes > segmentHeaderBytes;
    if (!active || isFull) {
        if (auto error = startSegment()) {
            return error;
        }
    }
    Bytes bytes;
    if (activeBytes == 0) {
        writeSegmentHeader(bytes);
    }
    writeRecord(bytes, nextSequence, record.lastIndex, record.operations);
    if (auto error = writeAll(*active, bytes)) {
        return error;
    }
    if (auto error = failure(active->sync())) {
        return error;
    }
    if (!isActiveNameDurable) {
        if (auto error = failure(files.syncFolder(folder))) {
            return error;
        }
        isActiveNameDurable = true;
    }
    activeBytes += bytes.size();
    segments.back().maximum = std::max(segments.back().maximum, record.maximum);
    ++nextSequence;
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

std::optional<StorageError> LogStore::Impl::removeTemporaryFiles(const std::vector<std::string> &names)
{
    for (const std::string &name : names) {
        if (name.ends_with(temporarySuffix)) {
            if (auto error = removeFile(name)) {
                return error;
            }
        }
    }
    return std::nullopt;
}

std::optional<StorageError> LogStore::Impl::carryOut(const VoteRecord &vote)
{
    const Bytes bytes = writeVote(vote);
    const std::array<std::span<const std::uint8_t>, 1> parts{bytes};
    return replaceFile("vote", parts);
}

std::optional<StorageError> LogStore::Impl::carryOut(const SnapshotStep &snapshot)
{
    const Bytes header = writeSnapshotHeader(snapshot.point, *snapshot.data);
    const std::array<std::span<const std::uint8_t>, 2> parts{header, *snapshot.data};
    return replaceFile(numberedName(snapshotPrefix, snapshot.point.index, snapshotSuffix), parts);
}

std::optional<StorageError> LogStore::Impl::carryOut(const RemoveSnapshotsStep &step)
{
    auto names = files.list(folder);
    if (const auto *error = std::get_if<FileError>(&names)) {
        return converted(*error);
    }
    for (const std::string &name : std::get<std::vector<std::string>>(names)) {
        const auto number = nameNumber(name, snapshotPrefix, snapshotSuffix);
        if (number && *number < step.before) {
            if (auto error = removeFile(name)) {
                return error;
            }
        }
    }
    return std::nullopt;
}

std::optional<StorageError> LogStore::Impl::carryOut(const RemoveSegmentsStep &step)
{
    // One at a time: a crash must not leave a gap between the segments.
    while (segments.size() > 1 && segments.front().maximum <= step.upTo) {
        if (auto error = removeFile(numberedName(segmentPrefix, segments.front().firstSequence, segmentSuffix))) {
            return error;
        }
        segments.pop_front();
    }
    return std::nullopt;
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
    auto impl = std::unique_ptr<Impl>(new Impl{files, std::move(folder), options});
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
        return StorageError{StorageErrorKind::Stopped, "an earlier sync of " + m_impl->folder + " failed"};
    }
    m_impl->plan(orders);
    auto error = m_impl->carryOutSteps();
    if (error && error->kind != StorageErrorKind::FileSystem) {
        m_impl->stopped = true;
        m_impl->dropUnsynced();
    }
    return error;
}

std::optional<StorageError> LogStore::retry()
{
    return write({});
}

} // namespace mimosahollow::storage
