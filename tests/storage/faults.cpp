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

/** Groups that were acknowledged. Those that are refused are tried again a few times. */
std::size_t runScript(LogStore &store)
{
    std::size_t acknowledged = 0;
    for (const auto &group : script()) {
        auto error = store.write(group);
        for (unsigned tries = 0; tries < 8 && error && error->kind == StorageErrorKind::FileSystem; ++tries) {
            error = store.retry();
        }
        if (error) {
            return acknowledged;
        }
        ++acknowledged;
    }
    return acknowledged;
}

/** Changing operations of the script without faults. */
std::uint64_t stepsOfScript(const LogStoreOptions &options)
{
    MemoryFileSystem files;
    REQUIRE(runScript(*openLog(files, options).store) == script().size());
    return files.operations;
}

/** Checks that @p files hold what was acknowledged, and take further writes. */
void checkAcknowledged(MemoryFileSystem &files, const LogStoreOptions &options, std::size_t acknowledged)
{
    OpenedLog again = openLog(files, options);
    const Expected expected = expectedAfter(acknowledged);
    const Expected following = expectedAfter(std::min(acknowledged + 1, script().size()));
    REQUIRE((again.content.term == expected.term || again.content.term == following.term));
    const Term found = termIn(again.content, expected.last);
    const bool replaced = again.content.snapshot.index > expected.last && again.content.snapshot.index <= following.last;
    const bool rewritten = found == following.lastTerm || following.last < expected.last;
    REQUIRE((expected.last == 0 || found == expected.lastTerm || replaced || rewritten));

    const LogIndex last = again.content.entries.empty() ? again.content.snapshot.index : again.content.entries.back().index;
    REQUIRE_FALSE(write(*again.store, {SaveVote{1, 9, VoterId{1}}, AppendLog{2, {entry(last + 1, 9)}}}));
    REQUIRE(openLog(files, options).content.entries.back().index == last + 1);
}

} // namespace

// Guards against acknowledged writes that a power loss at an unlucky moment takes back, and against files that a crash
// leaves in a state that cannot be opened.
TEST_CASE("a crash at every step keeps what was acknowledged")
{
    INFO("seed " << seed);
    const LogStoreOptions options{GENERATE(std::uint64_t{1}, std::uint64_t{150}, std::uint64_t{100'000})};
    const std::uint64_t steps = stepsOfScript(options);
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
            checkAcknowledged(files, options, acknowledged);
        }
    }
}

// Guards against a record that was written in part and stays in the log, and against orders that are lost or carried out twice.
TEST_CASE("operations that are refused at any step are carried out later, and nothing is lost")
{
    INFO("seed " << seed);
    const LogStoreOptions options{GENERATE(std::uint64_t{1}, std::uint64_t{150}, std::uint64_t{100'000})};
    const std::uint64_t refusals = GENERATE(1U, 2U, 5U);
    const std::uint64_t steps = stepsOfScript(options);
    std::mt19937_64 random(seed);
    for (std::uint64_t step = 1; step <= steps; ++step) {
        CAPTURE(step, refusals);
        MemoryFileSystem files;
        files.refuseFrom = step;
        files.refusals = refusals;
        {
            OpenedLog log = openLog(files, options);
            REQUIRE(runScript(*log.store) == script().size());
            REQUIRE((files.refusals == 0 || step == steps)); // the last operation is a sync
        }
        const DurableLog content = openLog(files, options).content;
        REQUIRE(content.term == 3);
        REQUIRE(content.vote == VoterId{2});
        REQUIRE(content.snapshot.index == 22);
        REQUIRE(places(content).back() == std::pair<LogIndex, Term>{23, 3});

        // A power loss soon after: the script acknowledges after each group, so the crash falls into the repair or into what follows it.
        for (std::uint64_t later = 1; later <= 12; ++later) {
            CAPTURE(later);
            MemoryFileSystem crashing;
            crashing.refuseFrom = step;
            crashing.refusals = refusals;
            crashing.faultAt = step + later;
            crashing.fault = Fault::Crash;
            std::size_t acknowledged = 0;
            {
                OpenedLog log = openLog(crashing, options);
                acknowledged = runScript(*log.store);
            }
            crashing.crash(random);
            checkAcknowledged(crashing, options, acknowledged);
        }
    }
}

// Guards against a sync that is tried again and succeeds without the data, which the operating system has dropped after the first failure.
TEST_CASE("a failed sync stops the store for good")
{
    const std::uint64_t steps = stepsOfScript({});
    unsigned failures = 0;
    for (std::uint64_t step = 1; step <= steps; ++step) {
        CAPTURE(step);
        MemoryFileSystem files;
        OpenedLog log = openLog(files);
        files.failSyncFrom = step;
        const std::size_t acknowledged = runScript(*log.store);
        if (acknowledged == script().size()) {
            continue; // no sync came after this step
        }
        ++failures;
        files.failSyncFrom = 0;
        REQUIRE(write(*log.store, {AppendLog{99, {entry(50, 1)}}})->kind == StorageErrorKind::Stopped);
        REQUIRE(log.store->retry()->kind == StorageErrorKind::Stopped);

        // What was not synced must not be read as durable by a process that starts again, and be lost later.
        log.store.reset();
        const auto lastRead = [&files] {
            const DurableLog content = openLog(files).content;
            return content.entries.empty() ? content.snapshot.index : content.entries.back().index;
        };
        const LogIndex read = lastRead();
        std::mt19937_64 random(seed + step);
        files.crash(random);
        REQUIRE(lastRead() == read);
        checkAcknowledged(files, {}, acknowledged);
    }
    REQUIRE(failures > 10);
}

// Guards against a voter that stays out for good after its disk was full, and against a part of a refused record in the log.
TEST_CASE("a full disk refuses writes until it has room")
{
    MemoryFileSystem files;
    OpenedLog log = openLog(files);
    REQUIRE_FALSE(write(*log.store, {SaveVote{1, 1, VoterId{1}}, AppendLog{2, {entry(1, 1)}}}));

    SECTION("the orders that waited are carried out in their order")
    {
        files.capacity = files.used() + 100;
        REQUIRE(write(*log.store, {AppendLog{3, {entry(2, 1, std::string(1000, 'x'))}}})->kind == StorageErrorKind::FileSystem);
        REQUIRE(log.store->retry()->kind == StorageErrorKind::FileSystem);
        REQUIRE(write(*log.store, {SaveVote{4, 2, VoterId{2}}, TruncateLog{5, 2}, AppendLog{6, {entry(2, 2)}}})->kind == StorageErrorKind::FileSystem);
        files.capacity = SIZE_MAX;
        REQUIRE_FALSE(log.store->retry());
        const DurableLog content = openLog(files).content;
        REQUIRE(places(content) == Places{{1, 1}, {2, 2}});
        REQUIRE(content.vote == VoterId{2});
    }
    SECTION("a restart meanwhile finds what was durable")
    {
        files.capacity = files.used() + 100;
        REQUIRE(write(*log.store, {AppendLog{3, {entry(2, 1, std::string(1000, 'x'))}}})->kind == StorageErrorKind::FileSystem);
        log.store.reset();
        OpenedLog again = openLog(files);
        REQUIRE(places(again.content) == Places{{1, 1}});
        files.capacity = SIZE_MAX;
        REQUIRE_FALSE(write(*again.store, {AppendLog{3, {entry(2, 1)}}}));
        REQUIRE(places(openLog(files).content) == Places{{1, 1}, {2, 1}});
    }
    SECTION("a vote that is refused leaves the old one")
    {
        files.capacity = files.used() + 5;
        REQUIRE(write(*log.store, {SaveVote{3, 2, VoterId{3}}})->kind == StorageErrorKind::FileSystem);
        REQUIRE(openLog(files).content.vote == VoterId{1});
    }
}

// Guards against a record that is torn between two writes.
TEST_CASE("short writes are continued")
{
    MemoryFileSystem files;
    files.writeLimit = 7;
    REQUIRE(runScript(*openLog(files).store) == script().size());
    REQUIRE(places(openLog(files).content).back() == std::pair<LogIndex, Term>{23, 3});
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
    SECTION("a refusal is reported once, and the end of it after what has waited")
    {
        LogWriter writer(openLog(files).store, 100, report);
        StorageWrite vote = SaveVote{1, 1, VoterId{1}};
        REQUIRE(writer.tryPush(vote));
        REQUIRE(reports.wait([](const StorageEvent &event) {
            return std::holds_alternative<StorageSynced>(event);
        }));
        files.capacity = 0;
        for (LogIndex i = 1; i <= 5; ++i) {
            StorageWrite order = AppendLog{i + 1, {entry(i, 1)}};
            REQUIRE(writer.tryPush(order));
            REQUIRE(reports.wait([](const StorageEvent &event) {
                return std::holds_alternative<StorageRefused>(event);
            }));
        }
        files.capacity = SIZE_MAX;
        REQUIRE(reports.wait([](const StorageEvent &event) {
            return std::holds_alternative<StorageResumed>(event);
        }));
        const std::scoped_lock lock(reports.mutex);
        REQUIRE(reports.events.size() == 4);
        REQUIRE(std::holds_alternative<StorageRefused>(reports.events[1]));
        REQUIRE(std::get<StorageSynced>(reports.events[2]).write == 6);
    }
    SECTION("the end does not wait for a full disk")
    {
        files.capacity = 0;
        LogWriter writer(openLog(files).store, 100, report);
        StorageWrite vote = SaveVote{1, 1, VoterId{1}};
        REQUIRE(writer.tryPush(vote));
        REQUIRE(reports.wait([](const StorageEvent &event) {
            return std::holds_alternative<StorageRefused>(event);
        }));
    }
    SECTION("a failed sync is reported once and nothing after it")
    {
        files.failSyncFrom = 6;
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
