#include "entryfixture.h"

using namespace mimosahollow;
using namespace mimosahollow::ingress;

namespace {

constexpr std::string_view chunkEnd = "0\r\n\r\n";
const std::string notRun = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nCall-Id: c1\r\nContent-Length: 0\r\n\r\n";
const std::string failure = "HTTP/1.1 500 Error\r\nSignature: s\r\nCall-Id: c1\r\nContent-Length: 6\r\n\r\nbroken";
const std::string streamHead = "HTTP/1.1 200 OK\r\nSignature: s\r\nCall-Id: c1\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string event(char id)
{
    return std::string("10\r\nid: ") + id + "\ndata: " + id + "x\n\n\r\n";
}

/** Two backend servers, an entry instance that sends second copies after 30 ms, and what has arrived at the servers. */
struct CopyFixture : EntryFixture
{
    explicit CopyFixture(double share = 0.2) : EntryFixture(patientCatalog(), Duration{}, options(share))
    {
        announceServer("s2");
        REQUIRE(runUntil([this] {
            return entry->dispatchState().servers.contains("s2");
        }));
        hedging::HedgingState &state = entry->hedgingState();
        state.budgets["rest"].balance = 1;
        for (const char *route : {"once", "twice", "stream", "resume"}) {
            hedging::recordAnswer(state, route, "rest", milliseconds(1), std::chrono::steady_clock::now());
        }
        script = [this](const ConnectionPointer &connection, const std::string &) {
            arrived.push_back(connection);
        };
        caller = connect();
    }

    /** With calls that outlast what a busy machine takes to send a copy. */
    static catalog::Catalog patientCatalog()
    {
        catalog::Catalog catalog = defaultCatalog();
        for (catalog::CallRoute &route : catalog.routes) {
            route.timeout = seconds(8);
        }
        return catalog;
    }

    static hedging::HedgingOptions options(double share)
    {
        hedging::HedgingOptions options;
        options.share = share;
        options.minimumSamples = 1;
        options.minimumDelay = milliseconds(30);
        return options;
    }

    void send(const std::string &path)
    {
        caller->write(request(path, "c1"));
        REQUIRE(runUntil([this] {
            return arrived.size() == 1;
        }));
    }

    bool waitForCopy(Duration limit = seconds(2))
    {
        return runUntil(
            [this] {
                return arrived.size() == 2;
            },
            limit);
    }

    bool isAnswered(std::string_view end)
    {
        return runUntil([this, end] {
            return caller->received.ends_with(end);
        });
    }

    bool isCancelled(unsigned attempt)
    {
        return runUntil([this, attempt] {
            return arrived.at(attempt)->isBroken;
        });
    }

    /** Whether all that the attempts have taken was returned. */
    bool isSettled()
    {
        return runUntil([this] {
            const auto &servers = entry->dispatchState().servers;
            return servers.at("s1").running == 0 && servers.at("s2").running == 0;
        });
    }

    /** Whether neither backend server was taken for failing. */
    [[nodiscard]] bool hasNoFailures()
    {
        const auto &servers = entry->dispatchState().servers;
        return isSettled() && servers.at("s1").failureRate == 0 && servers.at("s2").failureRate == 0;
    }

    [[nodiscard]] unsigned metric(const std::string &name) const
    {
        const std::string text = "\n" + entry->metricsText();
        const std::size_t at = text.find("\nmimosahollow_" + name + " ");
        return at == std::string::npos ? 0 : static_cast<unsigned>(std::stoul(text.substr(at + name.size() + 15)));
    }

    std::vector<ConnectionPointer> arrived; // connection of each attempt
    ConnectionPointer caller;
};

} // namespace

// Guards against callers that wait for a slow backend server, or get two answers, and against counts that stay behind.
TEST_CASE("A late idempotent call is sent to another backend server as well")
{
    CopyFixture fixture;
    fixture.send("/twice/x");
    REQUIRE(fixture.waitForCopy());
    CHECK(fixture.entry->dispatchState().servers.at("s1").running == 1);
    CHECK(fixture.entry->dispatchState().servers.at("s2").running == 1);
    const double retries = fixture.entry->dispatchState().retryBudgets.at("rest").balance;
    CHECK(retries < 1);

    SECTION("the copy answers first, and the first attempt is cancelled")
    {
        fixture.arrived[1]->write(EntryFixture::response("c1", "copy"));
        CHECK(fixture.isAnswered("copy"));
        CHECK(fixture.isCancelled(0));
        CHECK(fixture.hasNoFailures());
        CHECK(fixture.runUntil([&fixture] {
            return fixture.metric("second_copies_won_total") == 1;
        }));
        fixture.arrived.clear();
        AND_WHEN("the caller sends another call on its connection")
        {
            fixture.caller->received.clear();
            fixture.send("/twice/y");
            fixture.arrived[0]->write(EntryFixture::response("c1", "next"));
            CHECK(fixture.isAnswered("next"));
            CHECK(fixture.caller->received.find("HTTP/1.1", 1) == std::string::npos);
        }
    }
    SECTION("the first attempt answers after all, and the copy is cancelled")
    {
        fixture.arrived[0]->write(EntryFixture::response("c1", "first"));
        CHECK(fixture.isAnswered("first"));
        CHECK(fixture.isCancelled(1));
        CHECK(fixture.hasNoFailures());
        CHECK(fixture.metric("second_copies_won_total") == 0);
    }
    SECTION("half an answer doesn't win")
    {
        fixture.arrived[0]->write("HTTP/1.1 200 OK\r\nSignature: s\r\nCall-Id: c1\r\nContent-Length: 10\r\n\r\nhalf");
        fixture.runFor(milliseconds(30));
        fixture.arrived[1]->write(EntryFixture::response("c1", "copy"));
        CHECK(fixture.isAnswered("copy"));
        CHECK(fixture.caller->received.find("half") == std::string::npos);
    }
    SECTION("both answer at the same time")
    {
        fixture.arrived[0]->write(EntryFixture::response("c1", "first"));
        fixture.arrived[1]->write(EntryFixture::response("c1", "copy"));
        REQUIRE(fixture.runUntil([&fixture] {
            return !fixture.caller->received.empty();
        }));
        fixture.runFor(milliseconds(50));
        CHECK(fixture.caller->received.find("HTTP/1.1", 1) == std::string::npos);
    }
    SECTION("one attempt ends without an answer while the other one runs")
    {
        const unsigned other = GENERATE(0U, 1U);
        const std::string end = GENERATE(as<std::string>{}, notRun, failure, "HTTP/1.1 421 Misdirected\r\nCall-Id: c1\r\nContent-Length: 0\r\n\r\n", "");
        if (end.empty()) {
            fixture.arrived[1 - other]->reset();
        } else {
            fixture.arrived[1 - other]->write(end);
        }
        fixture.runFor(milliseconds(60));
        CHECK(fixture.caller->received.empty());
        CHECK(fixture.arrived.size() == 2);
        fixture.arrived[other]->write(EntryFixture::response("c1", "other"));
        CHECK(fixture.isAnswered("other"));
        CHECK(fixture.caller->received.find("HTTP/1.1", 1) == std::string::npos);
    }
    SECTION("both fail, and the attempts of the route are used up")
    {
        fixture.arrived[1]->write(failure);
        fixture.runFor(milliseconds(30));
        fixture.arrived[0]->reset();
        CHECK(fixture.isAnswered("broken"));
        CHECK(fixture.caller->received.starts_with("HTTP/1.1 500 "));
        CHECK(fixture.arrived.size() == 2);
    }
    SECTION("both say that they haven't run it, and so does the answer")
    {
        fixture.arrived[0]->write(notRun);
        fixture.arrived[1]->write(notRun);
        CHECK(fixture.isAnswered("}\n"));
        CHECK(fixture.caller->received.starts_with("HTTP/1.1 503 "));
    }
    SECTION("the caller leaves, and both are cancelled")
    {
        fixture.caller->close();
        CHECK(fixture.isCancelled(0));
        CHECK(fixture.isCancelled(1));
    }
    CHECK(fixture.isSettled());
    CHECK(fixture.metric("second_copies_sent_total") == 1);
}

// Guards against a call that ends, or loses its counts, because its copy found nobody.
TEST_CASE("A copy whose backend server can't be reached leaves the first attempt alone")
{
    CopyFixture fixture;
    dispatch::ServerView &unreachable = fixture.entry->dispatchState().servers.at("s2");
    unreachable.record.address = testAddress(9, 42'309);
    unreachable.failureRate = 0.5; // so that the first attempt goes to the other one
    fixture.send("/twice/x");
    REQUIRE(fixture.runUntil([&] {
        return unreachable.connectFailures == 1;
    }));
    CHECK(fixture.metric("second_copies_sent_total") == 1);
    fixture.arrived[0]->write(EntryFixture::response("c1", "first"));
    CHECK(fixture.isAnswered("first"));
    CHECK(fixture.isSettled());
}

// Guards against a stream that is put together of two answers.
TEST_CASE("A stream holds the events of one attempt only")
{
    CopyFixture fixture;
    fixture.send("/resume/x");
    fixture.arrived[0]->write(streamHead + "7\r\nid: 1\nd\r\n"); // part of an event
    REQUIRE(fixture.waitForCopy());
    fixture.arrived[1]->write(streamHead);
    fixture.runFor(milliseconds(30));
    CHECK(fixture.caller->received.empty());
    const unsigned winner = GENERATE(0U, 1U);
    if (winner == 0) {
        fixture.arrived[0]->write("9\r\nata: ax\n\n\r\n");
    } else {
        fixture.arrived[1]->write(event('1'));
    }
    REQUIRE(fixture.isCancelled(1 - winner));
    fixture.arrived[1 - winner]->write(event('2'));
    fixture.arrived[winner]->write(event('3') + std::string(chunkEnd));
    CHECK(fixture.isAnswered(chunkEnd));
    CHECK(fixture.caller->received.find(winner == 0 ? "data: ax" : "data: 1x") != std::string::npos);
    CHECK(fixture.caller->received.find(winner == 0 ? "data: 1x" : "ata: ax") == std::string::npos);
    CHECK(fixture.caller->received.find("data: 2x") == std::string::npos);
    CHECK(fixture.caller->received.find("data: 3x") != std::string::npos);
    CHECK(fixture.caller->received.find("HTTP/1.1", 1) == std::string::npos);
    CHECK(fixture.isSettled());
}

// Guards against a call that runs twice although its route forbids it, and against extra load beyond the operator's limit.
TEST_CASE("No second copy is sent")
{
    SECTION("on routes that don't allow it")
    {
        CopyFixture fixture;
        fixture.send(GENERATE("/once/x", "/stream/x"));
        CHECK_FALSE(fixture.waitForCopy(milliseconds(200)));
    }
    SECTION("after the first event of a stream")
    {
        CopyFixture fixture;
        fixture.send("/resume/x");
        fixture.arrived[0]->write(streamHead + event('1'));
        CHECK_FALSE(fixture.waitForCopy(milliseconds(200)));
    }
    SECTION("without the setting")
    {
        CopyFixture fixture(0);
        fixture.send("/twice/x");
        CHECK_FALSE(fixture.waitForCopy(milliseconds(200)));
    }
    SECTION("to a backend server that has named a limit")
    {
        CopyFixture fixture;
        for (auto &[id, server] : fixture.entry->dispatchState().servers) {
            server.callsPerSecond = 100;
            server.permits = 10;
            server.permitsUntil = std::chrono::steady_clock::now() + seconds(10);
        }
        fixture.send("/twice/x");
        CHECK_FALSE(fixture.waitForCopy(milliseconds(200)));
        CHECK(fixture.metric("second_copies_excluded_total{cause=\"no-server\"}") == 1);
    }
    SECTION("beyond the share")
    {
        CopyFixture fixture;
        fixture.entry->hedgingState().budgets["rest"].balance = 0;
        fixture.send("/twice/x");
        CHECK_FALSE(fixture.waitForCopy(milliseconds(200)));
        CHECK(fixture.metric("second_copies_excluded_total{cause=\"share-used\"}") == 1);
    }
}

// Guards against a part of an answer that reaches the caller as the whole, since the write of the upload has taken the error of the reset.
TEST_CASE("A second copy whose connection is reset during the upload does not answer the call")
{
    CopyFixture fixture;
    const std::string body(4'000'000, 'u');
    fixture.script = [&fixture](const ConnectionPointer &connection, const std::string &) {
        fixture.arrived.push_back(connection);
        if (fixture.arrived.size() == 2) {
            boost::asio::write(connection->socket, boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\nSignature: s\r\nCall-Id: c1\r\n\r\nhalf")));
            connection->reset();
        }
    };
    fixture.caller->write("POST /twice/x HTTP/1.1\r\nHost: host\r\nCall-Id: c1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    REQUIRE(fixture.waitForCopy());
    fixture.runFor(milliseconds(50));
    fixture.arrived.at(0)->write(EntryFixture::response("c1", "whole"));
    REQUIRE(fixture.isAnswered("whole"));
    CHECK(fixture.caller->received.find("half") == std::string::npos);
}
