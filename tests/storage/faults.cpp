#include "helpers.h"

#include "mimosahollow/storage/logwriter.h"

#include <condition_variable>
#include <mutex>

using namespace mimosahollow::test;

namespace {

constexpr std::uint64_t seed = 20261204;

/** Groups of a short life of a voter: votes, entries, a change of history, snapshots, compaction. */
std::vector<std::vector<StorageWrite>> script()
{
    const auto data = std::make_shared<const Bytes>(Bytes(50, 7));
    const Membership members{{VoterId{1}, "10.0.0.1:7000", false}};
    return {
        {SaveVote{1, 1, VoterId{1}}, AppendLog{2, {entry(1, 1), entry(2, 1)}}},
        {AppendLog{3, {entry(3, 1), entry(4, 1)}}},
        {SaveVote{4, 2, VoterId{}}, TruncateLog{5, 3}, AppendLog{6, {entry(3, 2), entry(4, 2)}}},
        {AppendLog{7, {entry(5, 2)}}, StoreSnapshot{0, {4, 2, members}, data, false}},
        {CompactLog{8, 4}, AppendLog{9, {entry(6, 2)}}},
        {SaveVote{10, 3, VoterId{2}}},
        {StoreSnapshot{11, {20, 3, members}, data, true}, AppendLog{12, {entry(21, 3)}}},
        {AppendLog{13, {entry(22, 3), entry(23, 3)}}, StoreSnapshot{0, {22, 3, members}, data, false}, CompactLog{14, 22}},
    };
}

/** What must be there after the first @p groups groups were acknowledged. */
struct Expected
{
    Term term = 0;
    LogIndex last = 0;
    Term lastTerm = 0;
};

Expected expectedAfter(std::size_t groups)
{
    const std::vector<Expected> expected{{0, 0, 0}, {1, 2, 1}, {1, 4, 1}, {2, 4, 2}, {2, 5, 2}, {2, 6, 2}, {3, 6, 2}, {3, 21, 3}, {3, 23, 3}};
    return expected[groups];
}

/** Term of the entry at @p index, from the log or the snapshot. */
Term termIn(const DurableLog &log, LogIndex index)
{
    if (index == log.snapshot.index) {
        return log.snapshot.term;
    }
    for (const LogEntry &element : log.entries) {
        if (element.index == index) {
            return element.term;
        }
    }
    return 0;
}

std::size_t runScript(LogStore &store)
{
    std::size_t acknowledged = 0;
    for (const auto &group : script()) {
        if (store.write(group)) {
            return acknowledged;
        }
        ++acknowledged;
    }
    return acknowledged;
}

} // namespace

// Guards against acknowledged writes that a power loss at an unlucky moment takes back, and against files that a crash
// leaves in a state that cannot be opened.
TEST_CASE("a crash at every step keeps what was acknowledged")
{
    INFO("seed " << seed);
    const LogStoreOptions options{GENERATE(std::uint64_t{1}, std::uint64_t{150}, std::uint64_t{100'000})};
    std::uint64_t steps = 0;
    {
        MemoryFileSystem files;
        REQUIRE(runScript(*openLog(files, options).store) == script().size());
        steps = files.operations;
    }
    std::mt19937_64 random(seed);
    for (std::uint64_t step = 1; step <= steps; ++step) {
        for (int variant = 0; variant < 20; ++variant) {
            CAPTURE(step, variant);
            MemoryFileSystem files;
            files.faultAt = step;
            files.fault = Fault::Crash;
            std::size_t acknowledged = 0;
            {
                OpenedLog log = openLog(files, options);
                acknowledged = runScript(*log.store);
            }
            REQUIRE(acknowledged < script().size());
            files.crash(random);
            OpenedLog again = openLog(files, options);
            const Expected expected = expectedAfter(acknowledged);
            const Expected following = expectedAfter(acknowledged + 1);
            REQUIRE((again.content.term == expected.term || again.content.term == following.term));
            const Term found = termIn(again.content, expected.last);
            const bool replaced = again.content.snapshot.index > expected.last && again.content.snapshot.index <= following.last;
            const bool rewritten = found == following.lastTerm || following.last < expected.last;
            REQUIRE((expected.last == 0 || found == expected.lastTerm || replaced || rewritten));

            const LogIndex last = again.content.entries.empty() ? again.content.snapshot.index : again.content.entries.back().index;
            REQUIRE_FALSE(write(*again.store, {SaveVote{1, 9, VoterId{1}}, AppendLog{2, {entry(last + 1, 9)}}}));
            REQUIRE(openLog(files, options).content.entries.back().index == last + 1);
        }
    }
}

// Guards against acknowledgements after a write that failed: what it left on the disk is not known.
TEST_CASE("a failed operation stops the store for good")
{
    std::uint64_t steps = 0;
    {
        MemoryFileSystem files;
        REQUIRE(runScript(*openLog(files).store) == script().size());
        steps = files.operations;
    }
    for (std::uint64_t step = 1; step <= steps; ++step) {
        CAPTURE(step);
        MemoryFileSystem files;
        OpenedLog log = openLog(files);
        files.faultAt = step;
        REQUIRE(runScript(*log.store) < script().size());
        REQUIRE(write(*log.store, {AppendLog{99, {entry(50, 1)}}})->kind == StorageErrorKind::Stopped);
    }

    SECTION("a full disk")
    {
        MemoryFileSystem files;
        OpenedLog log = openLog(files);
        REQUIRE_FALSE(write(*log.store, {SaveVote{1, 1, VoterId{1}}, AppendLog{2, {entry(1, 1)}}}));
        files.capacity = 300;
        REQUIRE(write(*log.store, {AppendLog{3, {entry(2, 1, std::string(1000, 'x'))}}})->kind == StorageErrorKind::FileSystem);
        files.capacity = SIZE_MAX;
        REQUIRE(write(*log.store, {AppendLog{4, {entry(2, 1)}}})->kind == StorageErrorKind::Stopped);
        REQUIRE(places(openLog(files).content) == Places{{1, 1}});
    }
    SECTION("short writes are continued")
    {
        MemoryFileSystem files;
        files.writeLimit = 7;
        REQUIRE(runScript(*openLog(files).store) == script().size());
        REQUIRE(places(openLog(files).content).back() == std::pair<LogIndex, Term>{23, 3});
    }
}

namespace {

/** Collects the reports of a storage thread. */
struct Reports
{
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<StorageEvent> events;

    void add(StorageEvent event)
    {
        const std::scoped_lock lock(mutex);
        events.push_back(std::move(event));
        changed.notify_all();
    }

    /** Waits for a report that @p isWanted accepts; the limit only bounds a failing test. */
    template<typename Predicate>
    bool wait(Predicate isWanted)
    {
        std::unique_lock lock(mutex);
        return changed.wait_for(lock, std::chrono::seconds(30), [&] {
            return std::any_of(events.begin(), events.end(), isWanted);
        });
    }
};

} // namespace

// Guards against reports of the storage thread before the data is durable, and against failures that go unreported.
TEST_CASE("the storage thread reports what is durable")
{
    MemoryFileSystem files;
    Reports reports;
    const auto report = [&reports](StorageEvent event) {
        reports.add(std::move(event));
    };

    SECTION("orders are written in their order")
    {
        {
            LogWriter writer(openLog(files).store, 8, report);
            StorageWrite vote = SaveVote{1, 1, VoterId{1}};
            REQUIRE(writer.tryPush(vote));
            for (LogIndex i = 1; i <= 50; ++i) {
                StorageWrite order = AppendLog{i + 1, {entry(i, 1)}};
                while (!writer.tryPush(order)) {
                    std::this_thread::yield();
                }
            }
            REQUIRE(reports.wait([](const StorageEvent &event) {
                const auto *synced = std::get_if<StorageSynced>(&event);
                return synced != nullptr && synced->write == 51;
            }));
        }
        REQUIRE(openLog(files).content.entries.size() == 50);
    }
    SECTION("a failure is reported once and nothing after it")
    {
        files.faultAt = 6;
        {
            LogWriter writer(openLog(files).store, 100, report);
            StorageWrite vote = SaveVote{1, 1, VoterId{1}};
            REQUIRE(writer.tryPush(vote));
            for (LogIndex i = 1; i <= 20; ++i) {
                StorageWrite order = AppendLog{i + 1, {entry(i, 1)}};
                REQUIRE(writer.tryPush(order));
            }
        }
        REQUIRE(std::holds_alternative<StorageFailed>(reports.events.back()));
        const auto failures = std::count_if(reports.events.begin(), reports.events.end(), [](const StorageEvent &event) {
            return std::holds_alternative<StorageFailed>(event);
        });
        REQUIRE(failures == 1);
    }
}
