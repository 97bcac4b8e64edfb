#include "mimosahollow/quarantine/crashledger.h"
#include "mimosahollow/quarantine/soundparts.h"

#include <catch2/catch.hpp>

#include <random>

using namespace mimosahollow;
using namespace mimosahollow::quarantine;

namespace {

/** A ledger, and time that passes in steps as coordinators plan. */
struct LedgerRun
{
    void end(const std::string &server, std::vector<std::string> parts)
    {
        recordEnd(ledger, {server, ++born, std::move(parts)}, now);
    }

    /** Lets @p time pass; returns what is to be quarantined at its end. */
    std::vector<std::string> pass(Duration time)
    {
        std::vector<std::string> culprits;
        for (const TimePoint end = now + time; now < end; now += milliseconds(50)) {
            culprits = findCulprits(ledger, now);
        }
        return culprits;
    }

    CrashLedger ledger;
    TimePoint now{seconds(100)};
    std::uint64_t born = 0;
};

using Parts = std::vector<std::string>;

} // namespace

// Guards against a part that ends servers and stays unknown, and against the quarantine of what its calls share with sound ones.
TEST_CASE("The part that is present at each end is quarantined, its companions are not")
{
    LedgerRun run;
    run.end("s1", {"organisation", "subject-1", "fatal"});
    CHECK(run.pass(milliseconds(300)).empty());
    run.end("s2", {"organisation", "subject-1", "fatal"}); // the repeat of the same call
    CHECK(run.pass(seconds(2)).empty());
    CHECK(suspects(run.ledger) == Parts{"fatal", "organisation", "subject-1"});

    SECTION("a sound answer clears the part that all calls of the organisation share")
    {
        recordSoundAnswer(run.ledger, "organisation", run.now);
        run.end("s3", {"organisation", "subject-2", "fatal"});
        CHECK(run.pass(seconds(1)) == Parts{"fatal"});
    }
    SECTION("ends that a quarantine explains count for no other part")
    {
        run.ledger.quarantined.insert("fatal");
        run.end("s3", {"organisation", "subject-1", "fatal"});
        run.end("s4", {"organisation", "subject-1", "fatal"});
        CHECK(run.pass(seconds(2)).empty());
        CHECK(suspects(run.ledger).empty());
    }
    SECTION("two parts that cannot be told apart need more ends")
    {
        run.end("s3", {"fatal", "twin"});
        recordSoundAnswer(run.ledger, "organisation", run.now);
        run.end("s1", {"fatal", "subject-1", "twin"});
        CHECK(run.pass(seconds(2)) == Parts{"fatal"}); // present at more ends than its twin
    }
}

// Guards against parts that are told from others only by time: five ends are enough then, and a part that was sound before is spared.
TEST_CASE("Parts that are always present together are quarantined after five ends")
{
    LedgerRun run;
    recordEnd(run.ledger, {"s0", 0, {"organisation"}}, run.now - seconds(20));
    recordSoundAnswer(run.ledger, "organisation", run.now - seconds(10));
    for (unsigned count = 1; count < 5; ++count) {
        run.end("s" + std::to_string(count), {"organisation", "fatal", "twin"});
        CHECK(run.pass(milliseconds(900)).empty());
    }
    run.end("s5", {"organisation", "fatal", "twin"});
    CHECK(run.pass(milliseconds(100)) == Parts{"fatal", "twin"});
}

// Guards against a quarantine after servers have crashed for a reason of their own, with popular and rare parts among the running calls.
TEST_CASE("Servers that crash together accuse no part")
{
    LedgerRun run;
    for (unsigned server = 0; server < 12; ++server) {
        run.end("s" + std::to_string(server), {"popular", "rare"});
        run.now += milliseconds(5);
    }
    CHECK(run.pass(seconds(3)).empty());
}

// Guards against a quarantine while servers crash one after the other for a reason of their own. The seeds are fixed.
TEST_CASE("Unrelated crashes one after the other accuse no part that is answered soundly in between")
{
    for (unsigned seed = 1; seed <= 50; ++seed) {
        INFO("seed " << seed);
        std::mt19937 random(seed);
        LedgerRun run;
        for (unsigned count = 0; count < 40; ++count) {
            Parts parts{"organisation-" + std::to_string(random() % 5)};
            for (unsigned call = 0; call < 3; ++call) {
                parts.push_back("subject-" + std::to_string(random() % 200));
            }
            run.end("s" + std::to_string(count % 12), parts);
            for (const std::string &part : suspects(run.ledger)) {
                recordSoundAnswer(run.ledger, part, run.now - milliseconds(random() % 400));
            }
            CHECK(run.pass(milliseconds(200 + random() % 600)).empty());
        }
    }
}

// Guards against a late verdict when crashes of many calls' parts hide the one that causes them. The seeds are fixed.
TEST_CASE("The fatal part is found among the parts of other calls within six ends, and alone")
{
    for (unsigned seed = 1; seed <= 50; ++seed) {
        INFO("seed " << seed);
        std::mt19937 random(seed);
        LedgerRun run;
        Parts culprits;
        unsigned ends = 0;
        while (culprits.empty() && ends < 10) {
            Parts parts{"fatal", "organisation-1", "subject-" + std::to_string(random() % 50)};
            for (unsigned call = 0; call < 3; ++call) {
                parts.push_back("organisation-" + std::to_string(random() % 5));
                parts.push_back("subject-" + std::to_string(random() % 50));
            }
            run.end("s" + std::to_string(++ends % 12), parts);
            culprits = run.pass(milliseconds(300));
            for (const std::string &part : suspects(run.ledger)) {
                if (part.starts_with("organisation")) {
                    recordSoundAnswer(run.ledger, part, run.now - milliseconds(random() % 300));
                }
            }
        }
        CHECK(culprits == Parts{"fatal"});
        CHECK(ends <= 6);
    }
}

// Guards against a part that is released and ends servers again at the old price.
TEST_CASE("One end is enough for a part that was released")
{
    LedgerRun run;
    for (unsigned count = 0; count < 3; ++count) {
        run.end("s" + std::to_string(count), {"fatal"});
        run.pass(milliseconds(500));
    }
    REQUIRE(run.pass(seconds(1)) == Parts{"fatal"});
    run.ledger.quarantined.insert("fatal");
    release(run.ledger, "fatal", run.now);
    CHECK(run.pass(seconds(1)).empty());
    run.end("s1", {"fatal", "other"});
    CHECK(run.pass(milliseconds(100)) == Parts{"fatal"});
}

// Guards against memory that grows with the parts of all calls ever seen.
TEST_CASE("The sound parts that are kept are bounded, the newest stay")
{
    SoundParts sound;
    sound.generationSize = 100;
    for (unsigned count = 0; count < 1000; ++count) {
        recordSoundAnswer(sound, "p" + std::to_string(count), TimePoint(seconds(count)));
    }
    CHECK(sound.current.size() + sound.previous.size() <= 200);
    CHECK(lastSoundAnswer(sound, "p999") == TimePoint(seconds(999)));
    CHECK(lastSoundAnswer(sound, "p920") == TimePoint(seconds(920)));
    CHECK_FALSE(lastSoundAnswer(sound, "p1"));
}

// Guards against one request that ends each server that runs it, while its prompt parts are sound in other requests.
TEST_CASE("A whole request that is present at each end is quarantined, the parts of its prompt are not")
{
    LedgerRun run;
    run.end("s1", {"organisation", "subject-1", "request:1", "request:7"});
    CHECK(run.pass(milliseconds(900)).empty());
    run.end("s2", {"organisation", "subject-1", "request:1"});
    CHECK(run.pass(milliseconds(900)).empty());
    run.end("s3", {"organisation", "subject-1", "request:1", "request:8"});
    CHECK(run.pass(milliseconds(900)) == Parts{"request:1"});

    SECTION("more ends accuse the same request only")
    {
        run.end("s4", {"organisation", "subject-1", "request:1"});
        run.end("s5", {"organisation", "subject-1", "request:1"});
        CHECK(run.pass(milliseconds(900)) == Parts{"request:1"});
    }
    SECTION("an end without the request accuses the part that was there each time")
    {
        run.end("s4", {"organisation", "request:9"});
        CHECK(run.pass(milliseconds(900)) == Parts{"organisation", "request:1"});
    }
}

// Guards against the quarantine of a request that many callers send, since it was running on servers that another one ended.
TEST_CASE("A request that is answered soundly in between is not quarantined beside a deadly one")
{
    LedgerRun run;
    for (unsigned count = 0; count < 6; ++count) {
        run.end("s" + std::to_string(count), {"request:popular", "request:deadly"});
        run.now += milliseconds(200);
        recordSoundAnswer(run.ledger, "request:popular", run.now);
        const Parts culprits = run.pass(milliseconds(700));
        CHECK(std::find(culprits.begin(), culprits.end(), "request:popular") == culprits.end());
    }
    CHECK(run.pass(milliseconds(100)) == Parts{"request:deadly"});
}

// Guards against a verdict that waits for more servers to end, since the repeats of a request came at the same moment as its first tries.
TEST_CASE("A request that has ended three servers at two moments is quarantined")
{
    LedgerRun run;
    run.end("s1", {"organisation", "request:1"});
    run.now += milliseconds(20);
    run.end("s2", {"organisation", "request:1"});
    CHECK(run.pass(seconds(1)).empty());
    run.end("s3", {"organisation", "request:1"});
    CHECK(run.pass(milliseconds(900)) == Parts{"request:1"});

    SECTION("a prompt part still needs three moments")
    {
        LedgerRun other;
        other.end("s1", {"fatal", "request:1"});
        other.now += milliseconds(20);
        other.end("s2", {"fatal", "request:2"});
        other.pass(seconds(1));
        other.end("s3", {"fatal", "request:3"});
        CHECK(other.pass(milliseconds(900)).empty());
    }
    SECTION("servers that crash together accuse no request")
    {
        LedgerRun other;
        for (unsigned server = 0; server < 6; ++server) {
            other.end("s" + std::to_string(server), {"request:popular"});
            other.now += milliseconds(5);
        }
        CHECK(other.pass(seconds(2)).empty());
    }
}
