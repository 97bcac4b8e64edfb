#include "mimosahollow/duties/callqueue.h"
#include "mimosahollow/duties/dutyrules.h"
#include "mimosahollow/duties/reportingwindow.h"
#include "mimosahollow/duties/usagecounter.h"
#include "mimosahollow/duties/usageledger.h"
#include "mimosahollow/fleetstate/fleetcommand.h"
#include "mimosahollow/fleetstate/fleetstate.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <random>
#include <utility>
#include <vector>

using namespace mimosahollow;
using namespace mimosahollow::duties;

namespace {

constexpr std::int64_t length = 5000;
constexpr std::int64_t step = 50;
constexpr std::int64_t lease = 3000;
constexpr std::int64_t proposalTimeout = 500; // shorter than that of coordinators, so that more commands are repeated
constexpr std::int64_t start = 1'000'000 * length; // Unix time of the model's time 0

TimePoint timePoint(std::int64_t at)
{
    return TimePoint{} + seconds(1000) + milliseconds(at);
}

/** The platform's rules for calls of one subject. */
struct Platform
{
    std::map<std::uint64_t, std::map<std::string, std::uint64_t>> windows;
    std::map<std::uint64_t, std::string> holders; // by fencing number
    std::uint64_t highestNumber = 0;
    std::map<std::string, std::int64_t> replacedAt; // when another holder followed, by holder
    std::string lastHolder;

    void receive(const DutyCall &call, std::int64_t now)
    {
        const auto &report = std::get<UsageReport>(call.content);
        REQUIRE(windows.try_emplace(report.window, report.counts).first->second == report.counts);
        REQUIRE(holders.try_emplace(call.fencingNumber, call.holder).first->second == call.holder);
        REQUIRE(call.fencingNumber >= highestNumber);
        highestNumber = call.fencingNumber;
        if (!lastHolder.empty() && lastHolder != call.holder) {
            replacedAt[lastHolder] = now;
            const auto replaced = replacedAt.find(call.holder);
            REQUIRE((replaced == replacedAt.end() || now - replaced->second > lease));
        }
        lastHolder = call.holder;
    }
};

struct Node
{
    std::string name;
    fleetstate::FleetState view; // as far as it has applied the log
    bool believesToLead = false;
    std::int64_t ledSince = 0;
    std::optional<std::int64_t> roundBegan;
    bool isRoundAnswered = false; // the answers lie in its sockets
    std::optional<std::int64_t> confirmed;
    std::int64_t frozenUntil = 0;
    std::int64_t nextProposal = 0;
    UsageLedger ledger;
    CallQueue queue;
};

struct EntryInstance
{
    std::string name;
    std::uint64_t incarnation = 1;
    std::int64_t cutUntil = 0; // from the leader
    UsageCounter counter;
};

/** A call on its way. */
struct Flight
{
    std::size_t node = 0;
    std::uint64_t number = 0;
    DutyCall call;
    std::int64_t sentAt = 0;
    std::int64_t writtenAt = 0;
    std::int64_t arrivesAt = 0;
    bool isLost = false;
    bool isAnswerLost = false;
    bool hasArrived = false;
};

/** An entry of the leader's log that is not committed yet. */
struct Proposal
{
    fleetstate::FleetCommand command;
    std::int64_t commitsAt = 0;
};

struct Model
{
    explicit Model(unsigned seed) : random(seed)
    {
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            nodes[i].name = "core-" + std::to_string(i);
        }
        for (std::size_t i = 0; i < entries.size(); ++i) {
            entries[i].name = "entry-" + std::to_string(i);
            entries[i].counter.windowLength = length;
        }
        elect(0);
    }

    bool happens(double probability)
    {
        return !isCalm && std::bernoulli_distribution(probability)(random);
    }

    std::int64_t between(std::int64_t low, std::int64_t high)
    {
        return std::uniform_int_distribution<std::int64_t>(low, high)(random);
    }

    void elect(std::size_t number)
    {
        // The new leader has a part of what its predecessor proposed, and commits that with the first entry of its own.
        proposals.resize(static_cast<std::size_t>(between(0, static_cast<std::int64_t>(proposals.size()))));
        for (const Proposal &proposal : std::exchange(proposals, {})) {
            fleetstate::apply(committed, committed.index + 1, proposal.command);
        }
        leader = number;
        Node &node = nodes[number];
        ++committed.index; // the entry without content that begins a term
        node.view = committed;
        node.believesToLead = true;
        node.ledSince = now;
        node.roundBegan.reset();
        node.isRoundAnswered = false;
        node.confirmed.reset();
        node.ledger = {};
        setFixedWindow(node.ledger, committed.fixedWindow);
        abandonReports(node.queue);
        for (EntryInstance &entry : entries) {
            reportAll(entry.counter);
        }
    }

    /** Only the leader of the newest term commits, sometimes after it has proposed the same again. */
    void propose(std::size_t number, const fleetstate::FleetCommand &command)
    {
        if (number == leader) {
            const std::int64_t delay = happens(0.3) ? between(0, 2000) : 0;
            const std::int64_t earliest = proposals.empty() ? 0 : proposals.back().commitsAt + (isCalm ? 0 : between(0, 200));
            proposals.push_back({command, std::max(now + delay, earliest)});
        }
    }

    void runLog()
    {
        for (; !proposals.empty() && now >= proposals.front().commitsAt; proposals.pop_front()) {
            fleetstate::apply(committed, committed.index + 1, proposals.front().command);
        }
        if (now >= nodes[leader].frozenUntil) {
            nodes[leader].view = committed;
        }
    }

    void disturb()
    {
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            if (happens(0.003)) {
                nodes[i].frozenUntil = now + between(100, 8000);
            }
        }
        const auto candidate = static_cast<std::size_t>(between(0, nodes.size() - 1));
        if (now >= nodes[candidate].frozenUntil && (happens(0.005) || (now < nodes[leader].frozenUntil && happens(0.1)))) {
            elect(candidate);
        }
        if (happens(0.002)) {
            EntryInstance &entry = entries[static_cast<std::size_t>(between(0, entries.size() - 1))];
            entry.counter = {};
            entry.counter.windowLength = length;
            ++entry.incarnation;
        }
    }

    void runNode(std::size_t number)
    {
        Node &node = nodes[number];
        if (now < node.frozenUntil) {
            return;
        }
        if (node.isRoundAnswered) {
            node.confirmed = node.roundBegan;
            node.roundBegan.reset();
            node.isRoundAnswered = false;
        }
        if (number != leader && node.believesToLead && std::bernoulli_distribution(0.1)(random)) {
            node.believesToLead = false;
            abandonReports(node.queue);
        }
        if (!node.believesToLead) {
            return;
        }
        const fleetstate::DutyHolder known = node.view.dutyHolders["usage"];
        const std::string &holder = known.name;
        const bool proposes = now >= node.nextProposal;
        if (proposes && mayTake(holder, known.previous, node.name, milliseconds(now - node.ledSince), {})) {
            node.nextProposal = now + proposalTimeout;
            propose(number, {fleetstate::CommandKind::TakeDuty, 0, "usage", node.name});
        }
        if (holder != node.name) {
            return;
        }
        if (!node.roundBegan) {
            node.roundBegan = now;
        }
        setFixedWindow(node.ledger, node.view.fixedWindow);
        const std::vector<std::string> names{entries[0].name, entries[1].name};
        const auto window = windowToFix(node.ledger, windowAt(start, length), names, start + now, length);
        if (window && proposes && now - node.ledSince >= 1000) {
            node.nextProposal = now + proposalTimeout;
            propose(number, {fleetstate::CommandKind::FixUsage, *window, {}, {}, {}, sumOf(node.ledger, *window).counts});
        }
        for (const auto &[fixed, usage] : node.view.fixedUsage) {
            if (!usage.isSent) {
                addReport(node.queue, {fixed, usage.counts});
            }
        }
        if (!mayAct(holder, node.name, node.confirmed, now, milliseconds(350))) {
            return;
        }
        if (auto queued = takeCall(node.queue, timePoint(now))) {
            Flight flight{number, queued->number, {node.name, node.view.dutyHolders["usage"].fencingNumber, std::move(queued->content)}};
            flight.sentAt = now;
            flight.writtenAt = now + between(0, 50);
            flight.arrivesAt = flight.writtenAt + between(1, 1000);
            flight.isLost = happens(0.1);
            flight.isAnswerLost = happens(0.2);
            flights.push_back(std::move(flight));
        }
    }

    void runFlights()
    {
        for (Flight &flight : flights) {
            Node &node = nodes[flight.node];
            if (now < node.frozenUntil && flight.writtenAt >= now) {
                // Written when the sender is thawed, and received at once: it does not count.
                flight.isLost = flight.isLost || flight.writtenAt < node.frozenUntil;
            }
            if (!flight.hasArrived && now >= flight.arrivesAt) {
                flight.hasArrived = true;
                if (!flight.isLost) {
                    platform.receive(flight.call, flight.arrivesAt);
                }
            }
        }
        std::erase_if(flights, [this](const Flight &flight) {
            Node &node = nodes[flight.node];
            const bool isAnswered = flight.hasArrived && !flight.isLost && !flight.isAnswerLost;
            if (now < node.frozenUntil || (!isAnswered && now - flight.sentAt < 2000)) {
                return false;
            }
            callEnded(node.queue, flight.number, isAnswered ? DutyOutcome::Accepted : DutyOutcome::Unanswered, timePoint(now));
            if (isAnswered && node.believesToLead) {
                propose(flight.node, {fleetstate::CommandKind::UsageSent, std::get<UsageReport>(flight.call.content).window, {}, {}});
            }
            return true;
        });
    }

    void runEntries()
    {
        Node &node = nodes[leader];
        for (EntryInstance &entry : entries) {
            countCall(entry.counter, "acme", now);
            ++counted[windowAt(start + now, length)];
            if (happens(0.002)) {
                entry.cutUntil = now + between(0, 8000);
            }
            if (now % 150 != 0 || now < node.frozenUntil || now < entry.cutUntil) {
                continue;
            }
            const auto report = countsToReport(entry.counter, static_cast<std::uint64_t>(now + 1), now);
            if (happens(0.1)) {
                continue; // the report is lost
            }
            recordUsage(node.ledger, {entry.name, entry.incarnation}, report);
            if (!happens(0.1)) {
                reportAnswered(entry.counter, static_cast<std::uint64_t>(now + 1), committed.fixedWindow);
                synchronise(entry.counter, start + now, now, now);
            }
        }
    }

    void run(std::int64_t duration)
    {
        for (const std::int64_t end = now + duration; now < end; now += step) {
            disturb();
            runEntries();
            runFlights();
            runLog();
            for (std::size_t i = 0; i < nodes.size(); ++i) {
                runNode(i);
            }
            if (Node &node = nodes[leader]; node.roundBegan && !happens(0.2)) {
                node.isRoundAnswered = true;
            }
        }
    }

    std::mt19937 random;
    bool isCalm = false;
    std::int64_t now = 0;
    fleetstate::FleetState committed;
    std::size_t leader = 0;
    std::array<Node, 3> nodes;
    std::array<EntryInstance, 2> entries;
    std::deque<Flight> flights;
    std::deque<Proposal> proposals;
    Platform platform;
    std::map<std::uint64_t, std::uint64_t> counted; // true number of calls by window
};

} // namespace

// Guards against two contents for a window, two holders of a fencing number, an older number after a newer one, and a holder that returns within
// the lease: under elections, suspended machines, lost proposals, calls, answers and reports, and restarts of entry instances.
TEST_CASE("The platform's rules hold under any order of losses and suspensions")
{
    std::size_t windows = 0;
    std::size_t holders = 0;
    for (unsigned seed = 1; seed <= 200; ++seed) {
        INFO("seed " << seed);
        Model model(seed);
        model.run(120'000);
        holders += model.platform.holders.size();

        model.isCalm = true;
        for (Node &node : model.nodes) {
            node.frozenUntil = std::min(node.frozenUntil, model.now);
        }
        const std::uint64_t calm = windowAt(start + model.now, length) + 3;
        model.run(60'000);
        const std::uint64_t newest = windowAt(start + model.now, length);
        for (std::uint64_t window = calm; window + 2 < newest; ++window) {
            REQUIRE(model.platform.windows.contains(window));
            REQUIRE(model.platform.windows[window]["acme"] == model.counted[window]);
        }
        windows += model.platform.windows.size();
    }
    CHECK(windows > 200 * 20); // the disturbed part has reports too
    CHECK(holders > 200 * 2);
}

// Guards against calls of a machine that was suspended while another one took over.
TEST_CASE("Only a leader that a majority has just confirmed acts")
{
    const Duration timeout = milliseconds(350);
    CHECK(mayAct("core-1", "core-1", 1000, 1350, timeout));
    CHECK_FALSE(mayAct("core-1", "core-1", 1000, 1351, timeout));
    CHECK_FALSE(mayAct("core-2", "core-1", 1000, 1000, timeout));
    CHECK_FALSE(mayAct("core-1", "core-1", std::nullopt, 1000, timeout));

    const TakeoverTimes times{seconds(3), seconds(2)};
    CHECK(mayTake("", "", "core-1", {}, times));
    CHECK_FALSE(mayTake("core-1", "core-3", "core-1", seconds(9), times));
    CHECK_FALSE(mayTake("core-2", "core-3", "core-1", milliseconds(2999), times));
    CHECK(mayTake("core-2", "core-3", "core-1", seconds(3), times));
    CHECK_FALSE(mayTake("core-2", "core-1", "core-1", milliseconds(4999), times));
    CHECK(mayTake("core-2", "core-1", "core-1", seconds(5), times));
}
