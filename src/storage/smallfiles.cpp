#include "logformat.h"

#include <xxhash.h>

namespace mimosahollow::storage {

namespace {

using control::Bytes;

constexpr std::uint64_t voteMagic = 0x45544F56484D0000ULL;
constexpr std::uint64_t snapshotMagic = 0x50414E53484D0000ULL;
constexpr std::uint32_t formatVersion = 1;
constexpr std::size_t checksumBytes = sizeof(std::uint64_t);

/** Checks magic number and format; the reader continues behind them. */
std::optional<StorageError> readStart(ByteReader &reader, std::uint64_t magic, StorageErrorKind kind, const std::string &name)
{
    if (reader.number<std::uint64_t>() != magic) {
        return StorageError{kind, "the " + name + " file does not start as one"};
    }
    const auto format = reader.number<std::uint32_t>();
    if (!reader.failed && format != formatVersion) {
        return StorageError{StorageErrorKind::UnknownFormat, "the " + name + " file has format " + std::to_string(format) + "; this program knows 1"};
    }
    return std::nullopt;
}

} // namespace

Bytes writeVote(const VoteRecord &vote)
{
    Bytes bytes;
    ByteWriter writer{bytes};
    writer.number(voteMagic);
    writer.number(formatVersion);
    writer.number(vote.term);
    writer.number(static_cast<std::uint32_t>(vote.vote));
    writer.number(XXH3_64bits(bytes.data(), bytes.size()));
    return bytes;
}

std::variant<VoteRecord, StorageError> readVote(std::span<const std::uint8_t> bytes)
{
    ByteReader reader{bytes};
    if (auto error = readStart(reader, voteMagic, StorageErrorKind::DamagedVote, "vote")) {
        return std::move(*error);
    }
    VoteRecord vote;
    vote.term = reader.number<control::Term>();
    vote.vote = static_cast<control::VoterId>(reader.number<std::uint32_t>());
    const auto checksum = reader.number<std::uint64_t>();
    if (reader.failed || !reader.rest.empty() || checksum != XXH3_64bits(bytes.data(), bytes.size() - checksumBytes)) {
        return StorageError{StorageErrorKind::DamagedVote, "the vote file fails its checksum"};
    }
    return vote;
}

Bytes writeSnapshotHeader(const control::SnapshotPoint &point, std::span<const std::uint8_t> data)
{
    Bytes bytes;
    ByteWriter writer{bytes};
    writer.number(snapshotMagic);
    writer.number(formatVersion);
    writer.number(point.index);
    writer.number(point.term);
    writeMembers(writer, point.members);
    writer.number(static_cast<std::uint64_t>(data.size()));
    const std::uint64_t seed = XXH3_64bits(bytes.data(), bytes.size());
    writer.number(XXH3_64bits_withSeed(data.data(), data.size(), seed));
    return bytes;
}

std::variant<SnapshotFile, StorageError> readSnapshotFile(std::span<const std::uint8_t> bytes)
{
    ByteReader reader{bytes};
    if (auto error = readStart(reader, snapshotMagic, StorageErrorKind::DamagedSnapshot, "snapshot")) {
        return std::move(*error);
    }
    SnapshotFile file;
    file.point.index = reader.number<control::LogIndex>();
    file.point.term = reader.number<control::Term>();
    file.point.members = readMembers(reader);
    const auto size = reader.number<std::uint64_t>();
    const std::size_t headerBytes = bytes.size() - reader.rest.size();
    const auto checksum = reader.number<std::uint64_t>();
    const auto data = reader.bytes(size);
    const bool complete = !reader.failed && reader.rest.empty();
    if (!complete || checksum != XXH3_64bits_withSeed(data.data(), data.size(), XXH3_64bits(bytes.data(), headerBytes))) {
        return StorageError{StorageErrorKind::DamagedSnapshot, "the snapshot file fails its checksum"};
    }
    file.data = std::make_shared<const Bytes>(data.begin(), data.end());
    return file;
}

} // namespace mimosahollow::storage
