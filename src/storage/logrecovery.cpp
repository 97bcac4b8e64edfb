#include "logstoreimpl.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace mimosahollow::storage {

std::optional<StorageError> LogStore::Impl::readVoteFile(const std::vector<std::string> &names, control::DurableLog &content)
{
    if (std::find(names.begin(), names.end(), "vote") == names.end()) {
        return std::nullopt;
    }
    auto bytes = files.read(path("vote"));
    if (const auto *error = std::get_if<FileError>(&bytes)) {
        return converted(*error);
    }
    auto vote = readVote(std::get<Bytes>(bytes));
    if (auto *error = std::get_if<StorageError>(&vote)) {
        return std::move(*error);
    }
    content.term = std::get<VoteRecord>(vote).term;
    content.vote = std::get<VoteRecord>(vote).vote;
    return std::nullopt;
}

std::optional<StorageError> LogStore::Impl::readSnapshot(const std::vector<std::string> &names, control::DurableLog &content)
{
    std::string newest;
    for (const std::string &name : names) {
        if (nameNumber(name, snapshotPrefix, snapshotSuffix)) {
            newest = name;
        }
    }
    if (newest.empty()) {
        return std::nullopt;
    }
    auto bytes = files.read(path(newest));
    if (const auto *error = std::get_if<FileError>(&bytes)) {
        return converted(*error);
    }
    auto file = readSnapshotFile(std::get<Bytes>(bytes));
    if (auto *error = std::get_if<StorageError>(&file)) {
        error->message += " (" + newest + ")";
        return std::move(*error);
    }
    content.snapshot = std::get<SnapshotFile>(file).point;
    content.snapshotData = std::get<SnapshotFile>(file).data;
    return std::nullopt;
}

/** Cuts @p name to its @p good bytes, or removes it if it has no header. */
std::optional<StorageError> LogStore::Impl::cutTail(const std::string &name, std::size_t size, std::uint64_t good, std::uint64_t &tornBytes)
{
    tornBytes += size - good;
    if (good >= segmentHeaderBytes) {
        return good == size ? std::nullopt : failure(files.truncate(path(name), good));
    }
    return removeFile(name);
}

std::optional<StorageError> LogStore::Impl::readSegments(const std::vector<std::string> &names, ReplayedLog &log, std::uint64_t &tornBytes)
{
    std::vector<std::string> segmentNames;
    std::copy_if(names.begin(), names.end(), std::back_inserter(segmentNames), [](const std::string &name) {
        return nameNumber(name, segmentPrefix, segmentSuffix).has_value();
    });
    for (std::size_t i = 0; i < segmentNames.size(); ++i) {
        const std::string &name = segmentNames[i];
        auto bytes = files.read(path(name));
        if (const auto *error = std::get_if<FileError>(&bytes)) {
            return converted(*error);
        }
        const Bytes &data = std::get<Bytes>(bytes);
        const bool isLast = i + 1 == segmentNames.size();
        auto replayed = replaySegment(data, isLast, log);
        if (auto *error = std::get_if<StorageError>(&replayed)) {
            error->message += " (" + name + ")";
            return std::move(*error);
        }
        const std::uint64_t good = std::get<std::size_t>(replayed);
        if (isLast) {
            if (auto error = cutTail(name, data.size(), good, tornBytes)) {
                return error;
            }
        }
        if (good >= segmentHeaderBytes) {
            segments.push_back({*nameNumber(name, segmentPrefix, segmentSuffix), log.segmentMaximum});
            activeBytes = good;
        }
    }
    return std::nullopt;
}

std::optional<StorageError> LogStore::Impl::recover(control::DurableLog &content, std::uint64_t &tornBytes)
{
    auto listed = files.list(folder);
    if (const auto *error = std::get_if<FileError>(&listed)) {
        return converted(*error);
    }
    const auto &names = std::get<std::vector<std::string>>(listed);
    if (auto error = removeTemporaryFiles(names)) {
        return error;
    }
    if (auto error = readVoteFile(names, content)) {
        return error;
    }
    if (auto error = readSnapshot(names, content)) {
        return error;
    }
    if (auto error = carryOut(RemoveSnapshotsStep{content.snapshot.index})) {
        return error;
    }
    ReplayedLog log;
    if (auto error = readSegments(names, log, tornBytes)) {
        return error;
    }
    nextSequence = std::max<std::uint64_t>(log.nextSequence, segments.empty() ? 1 : segments.back().firstSequence);
    lastIndex = log.lastIndex;
    content.entries = std::move(log.entries);
    if (!content.entries.empty() && content.entries.front().index > content.snapshot.index + 1) {
        return StorageError{StorageErrorKind::DamagedLog,
                            "entries " + std::to_string(content.snapshot.index + 1) + " to " + std::to_string(content.entries.front().index - 1)
                                + " are neither in the snapshot nor in the log"};
    }
    const control::Term newest = content.entries.empty() ? content.snapshot.term : content.entries.back().term;
    if (newest > content.term) {
        return StorageError{StorageErrorKind::DamagedVote, "the vote file is missing or older than the log"};
    }
    if (!segments.empty()) {
        auto opened = files.openAppend(path(numberedName(segmentPrefix, segments.back().firstSequence, segmentSuffix)));
        if (const auto *error = std::get_if<FileError>(&opened)) {
            return converted(*error);
        }
        active = std::move(std::get<std::unique_ptr<AppendFile>>(opened));
    }
    if (control::alignWithSnapshot(content)) {
        planReset(content.snapshot.index);
    }
    // If the disk is full, the reset waits like any other order: until it is durable, the log is read in the same way again.
    auto error = carryOutSteps();
    return error && error->kind == StorageErrorKind::FileSystem ? std::nullopt : std::move(error);
}

} // namespace mimosahollow::storage
