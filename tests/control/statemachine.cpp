#include "mimosahollow/control/controlstate.h"
#include "mimosahollow/control/snapshot.h"

#include <catch2/catch.hpp>

using namespace mimosahollow;
using namespace mimosahollow::control;

namespace {

constexpr std::int64_t second = 1000; // milliseconds
constexpr std::int64_t hour = 3600 * second;

/** Applies commands with consecutive log indexes to one state. */
struct Machine
{
    ControlState state;
    std::int64_t time = 1'000'000;
    std::uint64_t lastId = 0;
    CommandId id;

    CommandResult run(CommandBody body)
    {
        id = {7, ++lastId};
        return rerun(std::move(body));
    }

    /** Applies @p body under the command id of the last run(). */
    CommandResult rerun(CommandBody body)
    {
        return apply(state, state.appliedIndex + 1, {id, time, "operator", std::move(body)});
    }
};

Configuration smallBundle(Version version)
{
    Configuration bundle;
    bundle.version = version;
    bundle.baseModels = {"base"};
    bundle.domains = {{DomainId{1}, "a", 0.5, false}, {DomainId{2}, "b", 0.5, false}};
    bundle.organisations = {{OrganisationId{1}, "one", 100, 1000, 1}, {OrganisationId{2}, "two", 50, 500, 2}};
    bundle.keys = {{"k1", KeyHash{1}, OrganisationId{1}}, {"k2", KeyHash{2}, OrganisationId{2}}};
    bundle.adapters = {{AdapterId{1}, "base", "greeting", "1", true, {OrganisationId{1}}}};
    bundle.routes = {{"/registry/", "registry", false, false, seconds(30), {OrganisationId{2}}}};
    bundle.servers = {{ServerId{1}, "s1", DomainId{1}, "base", "10.0.0.1:80", false}, {ServerId{2}, "s2", DomainId{2}, "registry", "10.0.0.2:80", false}};
    return bundle;
}

ApplyBundle bundleCommand(Version expectedVersion, Configuration bundle, const std::string &author = "ann")
{
    return {expectedVersion, std::make_shared<const Configuration>(std::move(bundle)), author, "bob", Digest{9}};
}

template<typename List>
std::vector<std::string> names(const List &list)
{
    std::vector<std::string> result;
    for (const auto &element : list) {
        result.push_back(element.name);
    }
    return result;
}

using Names = std::vector<std::string>;

bool sameConfiguration(const Configuration &left, const Configuration &right)
{
    const Increment change = difference(left, right);
    return !change.baseModels && !change.routes && change.domains.empty() && change.organisations.empty() && change.keys.empty() && change.adapters.empty()
           && change.servers.empty() && change.pools.empty() && change.bucketOwners.empty() && change.instances.empty() && left.version == right.version
           && left.logIndex == right.logIndex;
}

} // namespace

// Guards against two different configurations with the same version, and against ids that are reused for other names.
TEST_CASE("applying a bundle")
{
    Machine machine;
    REQUIRE(machine.run(bundleCommand(0, smallBundle(1))).outcome == CommandOutcome::Accepted);
    REQUIRE(machine.state.configuration.version == 1);
    REQUIRE(machine.state.configuration.pools.size() == 2);

    SECTION("a second bundle for the same version is rejected, and the message names the accepted one")
    {
        const CommandResult result = machine.run(bundleCommand(0, smallBundle(1), "eve"));
        REQUIRE(result.outcome == CommandOutcome::VersionConflict);
        REQUIRE(result.number == 1);
        REQUIRE(result.message.find("version 1 by ann with hash 0900") != std::string::npos);
    }
    SECTION("the version cannot decrease")
    {
        REQUIRE(machine.run(bundleCommand(1, smallBundle(5))).outcome == CommandOutcome::Accepted);
        REQUIRE(machine.run(bundleCommand(5, smallBundle(3))).outcome == CommandOutcome::VersionConflict);
        REQUIRE(machine.state.configuration.version == 5);
    }
    SECTION("names keep their ids, and ids are not reused")
    {
        Configuration next = smallBundle(2);
        next.organisations.erase(next.organisations.begin());
        next.organisations.push_back({OrganisationId{3}, "three", 1, 1, 1});
        next.keys = {{"k2", KeyHash{2}, OrganisationId{2}}, {"k3", KeyHash{3}, OrganisationId{3}}};
        next.adapters = {{AdapterId{1}, "base", "other", "1", true, {OrganisationId{3}}}};
        REQUIRE(machine.run(bundleCommand(1, next)).outcome == CommandOutcome::Accepted);
        REQUIRE(machine.state.configuration.organisations[0].id == OrganisationId{2});
        REQUIRE(machine.state.configuration.organisations[1].id == OrganisationId{3});
        REQUIRE(machine.state.configuration.adapters[0].id == AdapterId{2});
        REQUIRE(machine.state.configuration.adapters[0].organisations == std::vector{OrganisationId{3}});
        SECTION("a removed adapter that is declared again gets its old id and position")
        {
            Configuration back = smallBundle(3);
            back.adapters = {{AdapterId{1}, "base", "other", "1", true, {}}, {AdapterId{2}, "base", "greeting", "1", true, {}}};
            REQUIRE(machine.run(bundleCommand(2, back)).outcome == CommandOutcome::Accepted);
            REQUIRE(names(machine.state.configuration.adapters) == Names{"greeting", "other"});
            REQUIRE(machine.state.configuration.organisations[0].id == OrganisationId{1});
        }
    }
    SECTION("changes made outside of bundles are kept")
    {
        REQUIRE(machine.run(GrantKey{"granted", "one", KeyHash{8}}).outcome == CommandOutcome::Accepted);
        REQUIRE(machine.run(WithdrawKey{"k1"}).outcome == CommandOutcome::Accepted);
        REQUIRE(machine.run(SetDomainOut{"b", true}).outcome == CommandOutcome::Accepted);
        REQUIRE(machine.run(SetServerOut{"s1", true}).outcome == CommandOutcome::Accepted);
        REQUIRE(machine.run(PublishAdapter{"base", "greeting", "2", true, {"two"}}).number == 2);
        REQUIRE_FALSE(machine.state.configuration.adapters[0].isDefault);
        REQUIRE(machine.run(bundleCommand(1, smallBundle(2))).outcome == CommandOutcome::Accepted);
        const Configuration &now = machine.state.configuration;
        REQUIRE(names(now.keys) == Names{"k2", "granted"});
        REQUIRE(now.domains[1].outOfService);
        REQUIRE(now.servers[0].outOfService);
        REQUIRE(now.adapters.size() == 2);
        REQUIRE(now.adapters[0].isDefault);
        REQUIRE_FALSE(now.adapters[1].isDefault);
        SECTION("a failure domain can be put back into service")
        {
            REQUIRE(machine.run(SetDomainOut{"b", false}).outcome == CommandOutcome::Accepted);
            REQUIRE_FALSE(machine.state.configuration.domains[1].outOfService);
        }
        SECTION("a withdrawn key cannot be granted again")
        {
            REQUIRE(machine.run(GrantKey{"again", "one", KeyHash{1}}).outcome == CommandOutcome::Invalid);
        }
    }
    SECTION("an operator cannot put back a failure domain that the bundle declares out of service")
    {
        Configuration next = smallBundle(2);
        next.domains[0].outOfService = true;
        machine.run(bundleCommand(1, next));
        machine.run(SetDomainOut{"a", false});
        REQUIRE(machine.state.configuration.domains[0].outOfService);
    }
    SECTION("unknown names are rejected")
    {
        REQUIRE(machine.run(SetRate{"nobody", 1, 1}).outcome == CommandOutcome::NotFound);
        REQUIRE(machine.run(SetRate{"one", -1, 1}).outcome == CommandOutcome::Invalid);
        REQUIRE(machine.run(WithdrawKey{"nothing"}).outcome == CommandOutcome::NotFound);
        REQUIRE(machine.run(PublishAdapter{"other", "x", "1", false, {}}).outcome == CommandOutcome::NotFound);
        REQUIRE(machine.run(PublishAdapter{"base", "x@", "1", false, {}}).outcome == CommandOutcome::Invalid);
    }
}

// Guards against a resent command that is applied twice or returns a different result.
TEST_CASE("a resent command returns the stored result")
{
    Machine machine;
    machine.run(bundleCommand(0, smallBundle(1)));
    const CommandResult first = machine.run(WithdrawKey{"k1"});
    REQUIRE(machine.rerun(WithdrawKey{"k1"}) == first);
    REQUIRE(machine.rerun(SetDomainOut{"a", true}).outcome == CommandOutcome::IdReused);
    REQUIRE(machine.state.audit.records.size() == 2);

    SECTION("after a snapshot is restored")
    {
        machine.state = std::get<ControlState>(decodeSnapshot(encodeSnapshot(machine.state)));
        REQUIRE(machine.rerun(WithdrawKey{"k1"}) == first);
    }
    SECTION("until the retention period has passed")
    {
        machine.time += 25 * hour;
        REQUIRE(machine.rerun(WithdrawKey{"k1"}).outcome == CommandOutcome::NotFound);
    }
    SECTION("the number of stored results is limited")
    {
        machine.state.limits.maximumResults = 10;
        for (int i = 0; i < 100; ++i) {
            machine.run(SetRate{"one", 5, 5});
        }
        REQUIRE(machine.state.results.size() <= 11);
        REQUIRE(machine.state.resultOrder.size() == machine.state.results.size());
    }
}

// Guards against a pool that is assigned twice because of an outdated view, and against repeated fencing numbers.
TEST_CASE("each assignment of a pool gets a higher fencing number")
{
    Machine machine;
    machine.run(bundleCommand(0, smallBundle(1)));
    const auto registered = machine.run(RegisterInstance{"i1", "a", "10.0.1.1:7000", 11});
    REQUIRE(registered.number == 1);
    REQUIRE(machine.run(RegisterInstance{"i1", "a", "10.0.1.1:7000", 11}).number == 1);
    REQUIRE(machine.run(RegisterInstance{"i2", "nowhere", "", 1}).outcome == CommandOutcome::NotFound);
    // A fencing number is the log index of its assignment.
    const FencingNumber first = machine.run(AssignPool{PoolId{1}, InstanceId{1}, 0}).number;
    REQUIRE(first == machine.state.appliedIndex);
    REQUIRE(machine.run(AssignPool{PoolId{1}, InstanceId{1}, 0}).outcome == CommandOutcome::VersionConflict);
    REQUIRE(machine.run(AssignPool{PoolId{1}, InstanceId{5}, first}).outcome == CommandOutcome::NotFound);
    const FencingNumber second = machine.run(AssignBucketOwner{DomainId{1}, InstanceId{1}, 0}).number;
    REQUIRE(second == machine.state.appliedIndex);
    REQUIRE(second > first);
    const FencingNumber third = machine.run(AssignPool{PoolId{1}, InstanceId{}, first}).number;
    REQUIRE(third == machine.state.appliedIndex);
    REQUIRE(third > second);
    REQUIRE(machine.state.configuration.pools[0].owner == InstanceId{});
    REQUIRE(machine.run(RegisterInstance{"i1", "a", "10.0.1.1:7000", 12}).number == 2);
    REQUIRE(machine.state.configuration.instances.size() == 1);
    REQUIRE(machine.run(RemoveInstance{InstanceId{2}}).outcome == CommandOutcome::Accepted);
    REQUIRE(machine.run(RemoveInstance{InstanceId{2}}).outcome == CommandOutcome::NotFound);
}

// Guards against a non-repeatable call that runs twice (P11), and against returning the response of a different request.
TEST_CASE("idempotency records")
{
    Machine machine;
    machine.run(bundleCommand(0, smallBundle(1)));
    const auto one = static_cast<InstanceId>(machine.run(RegisterInstance{"i1", "a", "x", 1}).number);
    const auto two = static_cast<InstanceId>(machine.run(RegisterInstance{"i2", "a", "y", 2}).number);
    const CallKey call{OrganisationId{1}, "/ledger/", "abc"};
    const BeginCall begin{call, Digest{1}, one};
    const BeginCall resend{call, Digest{1}, two};
    REQUIRE(machine.run(begin).outcome == CommandOutcome::RunCall);
    const CommandId started = machine.id;
    REQUIRE(machine.rerun(begin).outcome == CommandOutcome::RunCall);
    REQUIRE(machine.run(resend).outcome == CommandOutcome::CallInProgress);
    REQUIRE(machine.run(BeginCall{call, Digest{2}, two}).outcome == CommandOutcome::CallConflict);
    REQUIRE(machine.run(BeginCall{{OrganisationId{2}, "/ledger/", "abc"}, Digest{1}, two}).outcome == CommandOutcome::RunCall);

    SECTION("a stored response")
    {
        REQUIRE(machine.run(CompleteCall{call, {1, 1}, 200, "text/plain", "wrong"}).outcome == CommandOutcome::NotFound);
        REQUIRE(machine.run(CompleteCall{call, started, 201, "text/plain", "done"}).outcome == CommandOutcome::Accepted);
        const CommandResult stored = machine.run(resend);
        REQUIRE(stored == CommandResult{CommandOutcome::StoredResponse, "text/plain", 201, "done"});
        REQUIRE(machine.run(AbandonCall{call, started}).outcome == CommandOutcome::Invalid);
        SECTION("is kept for 24 hours")
        {
            machine.time += 24 * hour - second;
            REQUIRE(machine.run(resend).outcome == CommandOutcome::StoredResponse);
            machine.time += 2 * second;
            REQUIRE(machine.run(resend).outcome == CommandOutcome::RunCall);
            REQUIRE(machine.state.responseBytes == 0);
        }
        SECTION("is evicted by newer ones, which makes the outcome unknown")
        {
            machine.state.limits.maximumTotalResponseBytes = 10;
            machine.run(BeginCall{{OrganisationId{1}, "/ledger/", "new"}, Digest{1}, one});
            machine.run(CompleteCall{{OrganisationId{1}, "/ledger/", "new"}, machine.id, 200, "", "12345678"});
            REQUIRE(machine.run(resend).outcome == CommandOutcome::CallOutcomeUnknown);
            REQUIRE(machine.state.responseBytes == 8);
        }
    }
    SECTION("the outcome is unknown when the response is too long to store")
    {
        REQUIRE(machine.run(CompleteCall{call, started, 200, "", std::string(64 * 1024 + 1, 'x')}).outcome == CommandOutcome::Accepted);
        REQUIRE(machine.run(resend).outcome == CommandOutcome::CallOutcomeUnknown);
    }
    SECTION("the entry instance is removed")
    {
        machine.run(RemoveInstance{one});
        REQUIRE(machine.run(resend).outcome == CommandOutcome::CallOutcomeUnknown);
        REQUIRE(machine.run(begin).outcome == CommandOutcome::CallOutcomeUnknown);
    }
    SECTION("the entry instance restarts")
    {
        machine.run(RegisterInstance{"i1", "a", "x", 99});
        REQUIRE(machine.run(resend).outcome == CommandOutcome::CallOutcomeUnknown);
    }
    SECTION("the call is past every deadline")
    {
        machine.time += 600 * second;
        REQUIRE(machine.run(resend).outcome == CommandOutcome::CallInProgress);
        machine.time += second;
        REQUIRE(machine.run(resend).outcome == CommandOutcome::CallOutcomeUnknown);
    }
    SECTION("an abandoned call can be begun again")
    {
        REQUIRE(machine.run(AbandonCall{call, started}).outcome == CommandOutcome::Accepted);
        REQUIRE(machine.run(resend).outcome == CommandOutcome::RunCall);
        REQUIRE(machine.run(CompleteCall{call, started, 200, "", "late"}).outcome == CommandOutcome::NotFound);
    }
    SECTION("a full table rejects new calls and evicts none")
    {
        machine.state.limits.maximumCalls = 2;
        REQUIRE(machine.run(BeginCall{{OrganisationId{1}, "/ledger/", "more"}, Digest{1}, one}).outcome == CommandOutcome::TooManyCalls);
    }
    SECTION("an instance that is not registered cannot begin a call")
    {
        REQUIRE(machine.run(BeginCall{{OrganisationId{1}, "/l/", "z"}, Digest{}, InstanceId{77}}).outcome == CommandOutcome::Invalid);
    }
}

// Guards against undetected changes of the audit log, and against its unlimited growth.
TEST_CASE("the audit log is a hash chain")
{
    Machine machine;
    machine.state.limits.maximumAuditRecords = 5;
    machine.run(bundleCommand(0, smallBundle(1)));
    for (int i = 0; i < 9; ++i) {
        machine.run(SetRate{"one", 5, 5});
    }
    // Of the records 1 to 10, 6 to 10 are kept.
    AuditLog log = machine.state.audit;
    REQUIRE(log.records.size() == 5);
    REQUIRE(log.droppedRecords == 5);
    REQUIRE_FALSE(firstBrokenRecord(log));
    log.records[2].sender = "someone else";
    REQUIRE(firstBrokenRecord(log) == 8);
    log = machine.state.audit;
    log.records.erase(log.records.begin() + 1);
    REQUIRE(firstBrokenRecord(log) == 7);
}

// Guards against a follower whose configuration diverges from that of the voters when it applies increments.
TEST_CASE("followers catch up by increments")
{
    Machine machine;
    constexpr std::uint64_t seed = 20261204;
    std::mt19937_64 random(seed);
    INFO("seed " << seed);
    std::shared_ptr<const Configuration> follower = sharedConfiguration(machine.state);
    std::shared_ptr<const Configuration> laggingFollower = follower;
    Version version = 0;
    for (int round = 0; round < 400; ++round) {
        CAPTURE(round);
        const std::string name = "n" + std::to_string(random() % 20);
        switch (random() % 8) {
        case 0: {
            Configuration next = smallBundle(version + 1);
            for (std::uint32_t i = 0; i < random() % 9; ++i) {
                next.adapters.push_back({static_cast<AdapterId>(10 + i), "base", "n" + std::to_string(random() % 20), std::to_string(i), false, {}});
            }
            version += machine.run(bundleCommand(version, next)).outcome == CommandOutcome::Accepted ? 1 : 0;
            break;
        }
        case 1:
            machine.run(GrantKey{name, "one", KeyHash{static_cast<std::uint8_t>(random() % 200 + 10)}});
            break;
        case 2:
            machine.run(WithdrawKey{name});
            break;
        case 3:
            machine.run(SetDomainOut{"a", random() % 2 == 0});
            break;
        case 4:
            machine.run(PublishAdapter{"base", name, std::to_string(random() % 3), random() % 2 == 0, {"one"}});
            break;
        case 5:
            machine.run(RegisterInstance{name, "b", "x", random()});
            break;
        case 6:
            machine.run(RemoveInstance{static_cast<InstanceId>(random() % 50)});
            break;
        default:
            machine.run(AssignPool{PoolId{1}, InstanceId{}, machine.state.configuration.pools.empty() ? 0 : machine.state.configuration.pools[0].fencing});
            break;
        }
        const auto change = changesSince(machine.state, follower->logIndex);
        REQUIRE(change.has_value());
        follower = std::get<std::shared_ptr<const Configuration>>(applyIncrement(*follower, *change));
        REQUIRE(sameConfiguration(*follower, machine.state.configuration));
        if (round % 10 == 9) {
            const auto all = changesSince(machine.state, laggingFollower->logIndex);
            REQUIRE(all.has_value());
            laggingFollower = std::get<std::shared_ptr<const Configuration>>(applyIncrement(*laggingFollower, *all));
            REQUIRE(sameConfiguration(*laggingFollower, machine.state.configuration));
        }
    }
    SECTION("an increment applies only to the configuration that it starts from")
    {
        const auto change = changesSince(machine.state, follower->logIndex);
        REQUIRE(std::holds_alternative<IncrementError>(applyIncrement(Configuration{}, *change)));
        REQUIRE_FALSE(changesSince(machine.state, 1'000'000).has_value());
    }
    SECTION("a snapshot restores the whole state, and damage is detected")
    {
        const Bytes bytes = encodeSnapshot(machine.state);
        const ControlState copy = std::get<ControlState>(decodeSnapshot(bytes));
        REQUIRE(sameConfiguration(copy.configuration, machine.state.configuration));
        REQUIRE(encodeSnapshot(copy) == bytes);
        REQUIRE_FALSE(firstBrokenRecord(copy.audit));
        for (std::size_t i = 0; i < bytes.size(); i += 37) {
            Bytes damaged = bytes;
            damaged[i] ^= 4;
            REQUIRE(std::holds_alternative<SnapshotError>(decodeSnapshot(damaged)));
            REQUIRE(std::holds_alternative<SnapshotError>(decodeSnapshot(std::span(bytes).first(i))));
        }
        Bytes future = bytes;
        future[8] = 2;
        REQUIRE(std::get<SnapshotError>(decodeSnapshot(future)).kind == SnapshotErrorKind::UnknownFormat);
    }
}
