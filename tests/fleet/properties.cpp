#include "fleet.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace mimosahollow;
using namespace mimosahollow::tests;

namespace {

// P5, P8 and P12 of the design page state these times.
constexpr std::chrono::seconds withdrawalTarget{3};
constexpr std::chrono::seconds outTarget{2};

unsigned statusThrough(const Member &member, const std::string &call)
{
    return HttpClient(member.callers).call(call).status;
}

/** One model call and one plain call through every running instance, all of which must succeed. */
void callThroughEach(Fleet &fleet)
{
    for (const Member &member : fleet.members()) {
        if (member.process) {
            INFO("through " << member.name);
            REQUIRE(statusThrough(member, modelCall(northKey, "base")) == 200);
            REQUIRE(statusThrough(member, serviceCall(northKey)) == 200);
        }
    }
}

/** Keeps calls going for @p time, which is how long work may still reach what was taken out. */
void callFor(Fleet &fleet, std::chrono::seconds time)
{
    const auto end = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < end) {
        callThroughEach(fleet);
    }
}

/** Makes calls through @p member until each of @p servers has received a further one. */
bool awaitWork(const Fleet &fleet, const Member &member, const std::vector<std::string> &servers)
{
    std::map<std::string, std::size_t> before;
    for (const std::string &server : servers) {
        before[server] = fleet.received(server);
    }
    return waitFor([&] {
        static_cast<void>(statusThrough(member, modelCall(northKey, "base")));
        static_cast<void>(statusThrough(member, serviceCall(northKey)));
        return std::all_of(servers.begin(), servers.end(), [&](const std::string &server) {
            return fleet.received(server) > before[server];
        });
    });
}

void checkAnswers(Fleet &fleet)
{
    for (const Member &member : fleet.members()) {
        for (const std::string version : {"1", "2"}) {
            for (const bool stream : {true, false}) {
                const std::string mark = "mark-" + member.name + "-" + version + (stream ? "-stream" : "-whole");
                INFO(mark);
                // Version 2 is the one that the configuration names.
                const std::string model = version == "2" ? "base:greeting" : "base:greeting@1";
                const Answer answer = HttpClient(member.callers).call(modelCall(northKey, model, 3, stream, mark));
                REQUIRE(answer.status == 200);
                REQUIRE(answer.complete);
                REQUIRE(answer.header("X-Model-Served") == "base:greeting@" + version);
                REQUIRE(count(answer.body(), "word") == 3);
                REQUIRE((count(answer.body(), "data: [DONE]\n\n") == 1) == stream);
                const auto ran = fleet.seenCallsWith(mark);
                REQUIRE_FALSE(ran.empty());
                REQUIRE(ran.back().adapter == "greeting@" + version);
            }
        }
    }
}

/** Sends bytes that are no Hello to every link listener and waits until the instance closes the connection. */
void sendToLinkListeners(Fleet &fleet)
{
    for (const Member &member : fleet.members()) {
        std::string received;
        const RawSocket stranger(member.links);
        REQUIRE(stranger.send(request("GET", "/")));
        RawSocket::Read end = RawSocket::Read::Data;
        while (end == RawSocket::Read::Data) {
            end = stranger.receive(received);
        }
        REQUIRE(end == RawSocket::Read::End);
    }
}

/** Sends a registry entry through @p member and returns the body of the answer. */
std::string enter(const Member &member, const std::string &idempotencyKey, const std::string &entry)
{
    INFO("entry " << entry << " through " << member.name);
    const Answer answer = HttpClient(member.callers).call(serviceCall(northKey, idempotencyKey, "{\"entry\":\"" + entry + "\"}"));
    INFO(answer.body());
    REQUIRE(answer.status == 200);
    return answer.body();
}

} // namespace

// Guards against answers of another adapter (P1), calls for another organisation (P3), keys at backend servers (P4) and
// withdrawn keys that go on working (P5) when the parts run as separate processes, and against an instance that ends because
// of a refused link.
TEST_CASE("A fleet answers those who may call")
{
    Fleet fleet;
    REQUIRE(fleet.awaitService());
    sendToLinkListeners(fleet);
    callThroughEach(fleet);

    SECTION("streamed and whole answers come from the named adapter and version through every instance")
    {
        checkAnswers(fleet);

        SECTION("another organisation and an unknown key are refused")
        {
            for (const Member &member : fleet.members()) {
                INFO("through " << member.name);
                REQUIRE(statusThrough(member, modelCall(southKey, "base:repair")) == 200);
                const Answer foreign = HttpClient(member.callers).call(modelCall(southKey, "base:greeting@1", 1, false, "foreign-call"));
                REQUIRE(foreign.status >= 400);
                REQUIRE(foreign.status < 500);
                REQUIRE(foreign.error("outcome") == "not-run");
                REQUIRE(HttpClient(member.callers).call(modelCall("mh-unknown", "base:greeting@1", 1, false, "foreign-call")).error("code") == "invalid-key");
                REQUIRE(HttpClient(member.callers).call(serviceCall("mh-unknown", "foreign", "{\"entry\":\"foreign-call\"}")).error("code") == "invalid-key");
            }
            REQUIRE(fleet.seenCallsWith("foreign-call").empty());

            SECTION("no backend server has seen a key")
            {
                REQUIRE(fleet.seenCalls().size() > fleet.members().size());
                REQUIRE(fleet.seenCallsWith("\"Authorization\"").empty());
                for (const std::string &key : {northKey, southKey, std::string("mh-unknown")}) {
                    REQUIRE(fleet.seenCallsWith(key).empty());
                    REQUIRE(fleet.seenCallsWith(hashOf(key)).empty());
                }

                SECTION("a withdrawn key is refused on open connections, and the instances stop in order")
                {
                    std::vector<HttpClient> open;
                    for (const Member &member : fleet.members()) {
                        open.emplace_back(member.callers);
                        REQUIRE(open.back().call(modelCall(secondNorthKey, "base")).status == 200);
                    }
                    REQUIRE(fleet.command(fleet.member("b2"), {"key", "withdraw", "--name", "second-north-key"}) == 0);
                    const auto deadline = std::chrono::steady_clock::now() + withdrawalTarget;
                    for (HttpClient &client : open) {
                        Answer answer;
                        REQUIRE(waitFor([&] {
                            answer = client.call(modelCall(secondNorthKey, "base"));
                            return answer.status != 200 || std::chrono::steady_clock::now() >= deadline;
                        }));
                        REQUIRE(answer.error("code") == "invalid-key");
                        REQUIRE(client.call(modelCall(northKey, "base")).status == 200);
                    }
                    REQUIRE(fleet.stop());
                }
            }
        }
    }
}

// Guards against work that reaches a failure domain (P8) or a backend server (P12) that was taken out, and against one that
// stays without work after its return.
TEST_CASE("Parts of a fleet leave and return")
{
    Fleet fleet;
    REQUIRE(fleet.awaitService());
    const Member &inside = fleet.member("b1");
    REQUIRE(awaitWork(fleet, inside, {"b-model", "b-registry"}));

    SECTION("a failure domain gets no work while it is out")
    {
        REQUIRE(fleet.command(fleet.member("a2"), {"domain", "out", "b"}) == 0);
        callFor(fleet, outTarget);
        const std::size_t before = fleet.seenCalls("b").size();
        callThroughEach(fleet);
        callThroughEach(fleet);
        REQUIRE(fleet.seenCalls("b").size() == before);

        SECTION("it gets work after its return")
        {
            REQUIRE(fleet.command(fleet.member("c2"), {"domain", "in", "b"}) == 0);
            REQUIRE(awaitWork(fleet, inside, {"b-model", "b-registry"}));

            SECTION("a backend server gets no work while it is out, and gets work after its return")
            {
                REQUIRE(fleet.command(fleet.member("a3"), {"backend", "out", "b-model"}) == 0);
                callFor(fleet, outTarget);
                const std::size_t received = fleet.received("b-model");
                callThroughEach(fleet);
                callThroughEach(fleet);
                REQUIRE(fleet.received("b-model") == received);
                REQUIRE(fleet.command(inside, {"backend", "in", "b-model"}) == 0);
                REQUIRE(awaitWork(fleet, inside, {"b-model"}));
                REQUIRE(fleet.stop());
            }
        }
    }
}

// Guards against calls that run twice (P11), a service that stops with the leader, cut streams (P13) and a configuration
// that reverts (P14) when processes end and start again.
TEST_CASE("Processes of a fleet end and start again")
{
    Fleet fleet;
    REQUIRE(fleet.awaitService());
    Member &a2 = fleet.member("a2");
    const Member &c2 = fleet.member("c2");

    SECTION("a call with an idempotency key runs once through two instances and across a crash of a voter")
    {
        const std::string first = enter(a2, "call-1", "entry-1");
        REQUIRE(enter(c2, "call-1", "entry-1") == first);
        Member &voter = fleet.member("b1");
        fleet.kill(voter);
        REQUIRE(enter(c2, "call-1", "entry-1") == first);
        const std::string second = enter(a2, "call-2", "entry-2");
        fleet.start(voter);
        REQUIRE(fleet.awaitService());
        REQUIRE(enter(voter, "call-1", "entry-1") == first);
        REQUIRE(enter(voter, "call-2", "entry-2") == second);
        REQUIRE(fleet.seenCallsWith("entry-1").size() == 1);
        REQUIRE(fleet.seenCallsWith("entry-2").size() == 1);

        SECTION("the leader ends: model calls go on, and an operator command succeeds again")
        {
            std::string leader;
            REQUIRE(waitFor([&] {
                leader = fleet.leader(a2);
                return !leader.empty();
            }));
            fleet.kill(fleet.member(leader));
            for (const Member &member : fleet.members()) {
                if (member.process) {
                    INFO("through " << member.name << " without " << leader);
                    REQUIRE(statusThrough(member, modelCall(northKey, "base:greeting@1")) == 200);
                }
            }
            REQUIRE(waitFor([&] {
                return fleet.command(c2, {"key", "withdraw", "--name", "second-north-key"}) == 0;
            }));
            fleet.start(fleet.member(leader));
            REQUIRE(fleet.awaitService());

            SECTION("an instance that is asked to stop completes its stream")
            {
                HttpClient client(a2.callers);
                REQUIRE(client.send(modelCall(northKey, "base:greeting@1", 50, true)));
                REQUIRE(client.awaitText("word0"));
                a2.process->signal(SIGTERM);
                const Answer answer = client.read();
                REQUIRE(answer.complete);
                REQUIRE(count(answer.body(), "\"content\":\"word") == 50);
                REQUIRE(count(answer.body(), "data: [DONE]\n\n") == 1);
                REQUIRE(fleet.awaitExit(a2) == 0);

                SECTION("changes are still in force after all voters restart")
                {
                    REQUIRE(fleet.submitBundle(c2,
                                               "[[adapter]]\nbase = \"base\"\nname = \"greeting\"\nversion = \"3\"\ndefault = true\n"
                                               "organisations = [\"north\"]\n")
                            == 0);
                    REQUIRE(fleet.command(c2, {"domain", "out", "b"}) == 0);
                    for (const char *name : {"a1", "b1", "c1"}) {
                        fleet.kill(fleet.member(name));
                    }
                    for (const char *name : {"a1", "b1", "c1"}) {
                        fleet.start(fleet.member(name));
                    }
                    REQUIRE(fleet.awaitService());
                    const std::size_t before = fleet.seenCalls("b").size();
                    for (const Member &member : fleet.members()) {
                        if (member.process) {
                            INFO("through " << member.name);
                            const Answer served = HttpClient(member.callers).call(modelCall(northKey, "base:greeting"));
                            REQUIRE(served.status == 200);
                            REQUIRE(served.header("X-Model-Served") == "base:greeting@3");
                            // Withdrawn before the bundle, which still names it.
                            REQUIRE(HttpClient(member.callers).call(modelCall(secondNorthKey, "base")).error("code") == "invalid-key");
                        }
                    }
                    REQUIRE(fleet.seenCalls("b").size() == before);
                    REQUIRE(fleet.stop());
                }
            }
        }
    }
}
