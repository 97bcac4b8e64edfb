#include "helpers.h"

using namespace mimosahollow::test;

// Guards against log files that lose, change or invent entries between two starts.
TEST_CASE("a log is read back as it was written")
{
    MemoryFileSystem files;
    OpenedLog log = openLog(files);
    REQUIRE(log.content.entries.empty());
    REQUIRE(log.content.term == 0);

    SECTION("vote and entries")
    {
        REQUIRE_FALSE(write(*log.store, {SaveVote{1, 3, VoterId{2}}, AppendLog{2, {entry(1, 3, "a"), entry(2, 3, "")}}}));
        const LogEntry members{3, 3, EntryKind::Members, nullptr, {{VoterId{1}, "10.0.0.1:7000", false}, {VoterId{2}, "10.0.0.2:7000", true}}};
        REQUIRE_FALSE(write(*log.store, {AppendLog{3, {members}}}));
        const OpenedLog again = openLog(files);
        REQUIRE(again.content.term == 3);
        REQUIRE(again.content.vote == VoterId{2});
        REQUIRE(places(again.content) == Places{{1, 3}, {2, 3}, {3, 3}});
        REQUIRE(std::string(again.content.entries[0].payload->begin(), again.content.entries[0].payload->end()) == "a");
        REQUIRE(again.content.entries[2].members == members.members);
        REQUIRE(again.tornBytes == 0);

        SECTION("removed entries stay removed")
        {
            OpenedLog open = openLog(files);
            REQUIRE_FALSE(write(*open.store, {SaveVote{1, 4, VoterId{}}, TruncateLog{2, 2}, AppendLog{3, {entry(2, 4), entry(3, 4)}}}));
            REQUIRE(places(openLog(files).content) == Places{{1, 3}, {2, 4}, {3, 4}});
        }
        SECTION("a missing vote file is an error when the log has entries")
        {
            files.names.erase("data/vote");
            REQUIRE(openError(files)->kind == StorageErrorKind::DamagedVote);
        }
        SECTION("a damaged vote file is an error")
        {
            files.names["data/vote"]->data[14] ^= 1;
            REQUIRE(openError(files)->kind == StorageErrorKind::DamagedVote);
        }
        SECTION("an unknown format is named as such")
        {
            files.names.begin()->second->data[8] = 9;
            REQUIRE(openError(files)->kind == StorageErrorKind::UnknownFormat);
        }
    }
    SECTION("all orders of a group cost one sync of the log")
    {
        REQUIRE_FALSE(write(*log.store, {SaveVote{1, 1, VoterId{1}}}));
        const auto before = files.syncs;
        std::vector<StorageWrite> group;
        for (LogIndex i = 1; i <= 100; ++i) {
            group.emplace_back(AppendLog{i, {entry(i, 1)}});
        }
        REQUIRE_FALSE(log.store->write(group));
        REQUIRE(files.syncs == before + 1);
    }
}

// Guards against a snapshot or a compaction that loses entries, or keeps files forever.
TEST_CASE("snapshots replace old segments")
{
    MemoryFileSystem files;
    const LogStoreOptions small{200};
    OpenedLog log = openLog(files, small);
    REQUIRE_FALSE(write(*log.store, {SaveVote{1, 1, VoterId{1}}}));
    for (LogIndex i = 1; i <= 40; ++i) {
        REQUIRE_FALSE(write(*log.store, {AppendLog{i + 1, {entry(i, 1)}}}));
    }
    const auto filesBefore = files.names.size();
    const auto data = std::make_shared<const Bytes>(Bytes{1, 2, 3});
    const SnapshotPoint point{30, 1, {{VoterId{1}, "10.0.0.1:7000", false}}};
    REQUIRE_FALSE(write(*log.store, {StoreSnapshot{0, point, data, false}}));

    SECTION("compaction removes segments and nothing that is needed")
    {
        REQUIRE_FALSE(write(*log.store, {CompactLog{42, 30}}));
        REQUIRE(files.names.size() < filesBefore);
        const OpenedLog again = openLog(files, small);
        REQUIRE(again.content.snapshot.index == 30);
        REQUIRE(again.content.snapshot.members == point.members);
        REQUIRE(*again.content.snapshotData == *data);
        REQUIRE(again.content.entries.front().index <= 31);
        REQUIRE(again.content.entries.back().index == 40);
        SECTION("without the snapshot the log is refused")
        {
            files.names.erase("data/snapshot-00000000000000000030.data");
            REQUIRE(openError(files)->kind == StorageErrorKind::DamagedLog);
        }
        SECTION("a damaged snapshot is refused")
        {
            auto &bytes = files.names["data/snapshot-00000000000000000030.data"]->data;
            for (std::uint8_t &byte : bytes) {
                byte ^= 0x10;
                REQUIRE(openError(files).has_value());
                byte ^= 0x10;
            }
            REQUIRE_FALSE(openError(files));
        }
    }
    SECTION("a newer snapshot removes the older file")
    {
        REQUIRE_FALSE(write(*log.store, {StoreSnapshot{0, {35, 1, point.members}, data, false}}));
        REQUIRE_FALSE(files.names.contains("data/snapshot-00000000000000000030.data"));
        REQUIRE(openLog(files, small).content.snapshot.index == 35);
    }
    SECTION("a snapshot from the leader replaces the log")
    {
        REQUIRE_FALSE(write(*log.store, {SaveVote{50, 5, VoterId{}}, StoreSnapshot{51, {100, 5, point.members}, data, true}, AppendLog{52, {entry(101, 5)}}}));
        const OpenedLog again = openLog(files, small);
        REQUIRE(again.content.snapshot.index == 100);
        REQUIRE(places(again.content) == Places{{101, 5}});
    }
}

// Guards against recovery that fails on, or invents something from, a log that was cut by a power loss.
TEST_CASE("every truncation of a small log recovers")
{
    MemoryFileSystem files;
    OpenedLog log = openLog(files);
    REQUIRE_FALSE(write(*log.store, {SaveVote{1, 1, VoterId{1}}}));
    std::string segment;
    std::vector<std::size_t> ends;
    for (LogIndex i = 1; i <= 5; ++i) {
        REQUIRE_FALSE(write(*log.store, {AppendLog{i + 1, {entry(i, 1, std::string(i * 3, 'x'))}}}));
        segment = files.names.begin()->first;
        ends.push_back(files.names.begin()->second->data.size());
    }
    const auto whole = files.names[segment]->data;
    for (std::size_t size = 0; size <= whole.size(); ++size) {
        CAPTURE(size);
        files.names[segment] = std::make_shared<MemoryFileSystem::File>();
        files.names[segment]->data.assign(whole.begin(), whole.begin() + static_cast<std::ptrdiff_t>(size));
        OpenedLog cut = openLog(files);
        const auto complete = static_cast<std::size_t>(std::count_if(ends.begin(), ends.end(), [size](std::size_t end) {
            return end <= size;
        }));
        REQUIRE(cut.content.entries.size() == complete);
        REQUIRE_FALSE(write(*cut.store, {AppendLog{1, {entry(complete + 1, 1, "after")}}}));
        REQUIRE(openLog(files).content.entries.size() == complete + 1);
        files.names.erase(std::prev(files.names.end(), 2)->first == segment ? segment : files.names.begin()->first);
    }
}

// Guards against a damaged acknowledged entry that is silently dropped together with everything after it.
TEST_CASE("damage in the middle of a log is an error")
{
    MemoryFileSystem files;
    OpenedLog log = openLog(files);
    REQUIRE_FALSE(write(*log.store, {SaveVote{1, 1, VoterId{1}}}));
    std::size_t lastRecord = 0;
    for (LogIndex i = 1; i <= 4; ++i) {
        lastRecord = files.names.begin()->second->data.size();
        REQUIRE_FALSE(write(*log.store, {AppendLog{i + 1, {entry(i, 1)}}}));
    }
    auto &data = files.names.begin()->second->data;
    for (std::size_t i = 0; i < lastRecord; ++i) {
        CAPTURE(i);
        data[i] ^= 0x20;
        const auto error = openError(files);
        REQUIRE(error.has_value());
        REQUIRE((error->kind == StorageErrorKind::DamagedLog || error->kind == StorageErrorKind::UnknownFormat));
        data[i] ^= 0x20;
    }
    REQUIRE_FALSE(openError(files));

    SECTION("a missing segment is an error")
    {
        OpenedLog again = openLog(files, {1});
        for (LogIndex i = 5; i <= 8; ++i) {
            REQUIRE_FALSE(write(*again.store, {AppendLog{i, {entry(i, 1)}}}));
        }
        files.names.erase(std::next(files.names.begin(), 2));
        REQUIRE(openError(files)->kind == StorageErrorKind::DamagedLog);
    }
}
