#include "mimosahollow/link/controlcodec.h"

#include <catch2/catch.hpp>

#include <random>

using namespace mimosahollow;
using namespace mimosahollow::control;

namespace {

Configuration fullConfiguration()
{
    Configuration configuration;
    configuration.version = 4;
    configuration.logIndex = 9;
    configuration.baseModels = {"base", "other"};
    configuration.domains = {{DomainId{1}, "a", 0.25, true}};
    configuration.organisations = {{OrganisationId{3}, "one", 100, 1000, 2}};
    configuration.keys = {{"k", KeyHash{1, 2}, OrganisationId{3}}};
    configuration.adapters = {{AdapterId{1}, "base", "x", "1", true, {OrganisationId{3}}}, {AdapterId{2}, "other", "y", "2", false, {}}};
    configuration.routes = {{"/r/", "registry", true, true, milliseconds(1500), {OrganisationId{3}}}};
    configuration.servers = {{ServerId{5}, "s", DomainId{1}, "base", "10.0.0.1:80", true}};
    configuration.pools = {{PoolId{1}, DomainId{1}, "base", InstanceId{2}, 7}};
    configuration.bucketOwners = {{DomainId{1}, InstanceId{2}, 8}};
    configuration.instances = {{InstanceId{2}, "i", DomainId{1}, "10.0.0.2:7000", 99}};
    configuration.loadRate = 3;
    configuration.loadsInFlight = 6;
    return configuration;
}

std::vector<Command> allCommands()
{
    const CallKey call{OrganisationId{1}, "/r/", "key"};
    const std::vector<CommandBody> bodies{ApplyBundle{3, std::make_shared<const Configuration>(fullConfiguration()), "ann", "bob", Digest{4}},
                                          GrantKey{"k", "one", KeyHash{6}},
                                          WithdrawKey{"k"},
                                          SetDomainOut{"a", false},
                                          SetServerOut{"s", true},
                                          PublishAdapter{"base", "x", "1", true, {"one", "two"}},
                                          SetRate{"one", 1.5, 2.5},
                                          RegisterInstance{"i", "a", "10.0.0.1:7000", 77},
                                          RemoveInstance{InstanceId{4}},
                                          AssignPool{PoolId{1}, InstanceId{2}, 3},
                                          AssignBucketOwner{DomainId{1}, InstanceId{2}, 3},
                                          BeginCall{call, Digest{1}, InstanceId{2}},
                                          CompleteCall{call, {1, 2}, 201, "text/plain", std::string("a\0b", 3)},
                                          AbandonCall{call, {1, 2}}};
    std::vector<Command> commands;
    for (const CommandBody &body : bodies) {
        commands.push_back({{commands.size(), 5}, -3, "sender", body});
    }
    return commands;
}

std::vector<ConsensusMessage> allMessages()
{
    const Membership members{{VoterId{1}, "10.0.0.1:7000", true}};
    const auto payload = std::make_shared<const Bytes>(Bytes{1, 2, 3});
    AppendRequest append{5, 7, 4, 6, 3, {}};
    append.entries = {{8, 4, EntryKind::Empty, nullptr, {}}, {9, 5, EntryKind::Command, payload, {}}, {10, 5, EntryKind::Members, nullptr, members}};
    return {VoteRequest{3, 2, 1, true},
            VoteReply{3, false, true},
            append,
            AppendReply{5, 3, true, 10},
            SnapshotChunk{5, 3, {6, 4, members}, 100, 50, {9, 8}},
            SnapshotReply{5, 3, 6, 52}};
}

} // namespace

// Guards against fields that one side encodes and the other does not decode.
TEST_CASE("messages survive an encoding round trip")
{
    SECTION("commands")
    {
        for (const Command &command : allCommands()) {
            const Bytes bytes = link::encode(command);
            const auto decoded = std::get<Command>(link::decodeCommand(bytes));
            REQUIRE(decoded.id == command.id);
            REQUIRE(decoded.time == command.time);
            REQUIRE(decoded.body.index() == command.body.index());
            REQUIRE(link::encode(decoded) == bytes);
        }
        const auto complete = std::get<Command>(link::decodeCommand(link::encode(allCommands()[12])));
        REQUIRE(std::get<CompleteCall>(complete.body).responseBody == std::string("a\0b", 3));
        REQUIRE(std::get<CompleteCall>(complete.body).beginId == CommandId{1, 2});
    }
    SECTION("consensus messages")
    {
        for (const ConsensusMessage &message : allMessages()) {
            const Bytes bytes = link::encode(message);
            const auto decoded = std::get<ConsensusMessage>(link::decodeConsensusMessage(bytes));
            REQUIRE(decoded.index() == message.index());
            REQUIRE(link::encode(decoded) == bytes);
        }
        const auto append = std::get<AppendRequest>(std::get<ConsensusMessage>(link::decodeConsensusMessage(link::encode(allMessages()[2]))));
        REQUIRE(append.entries[2].index == 10);
        REQUIRE(append.entries[2].members[0].learner);
        REQUIRE(*append.entries[1].payload == Bytes{1, 2, 3});
    }
    SECTION("configurations and increments")
    {
        const Configuration configuration = fullConfiguration();
        const auto decoded = std::get<std::shared_ptr<const Configuration>>(link::decodeConfiguration(link::encode(configuration)));
        REQUIRE(link::encode(*decoded) == link::encode(configuration));
        REQUIRE(decoded->adapters[1] == configuration.adapters[1]);
        REQUIRE(decoded->routes == configuration.routes);
        for (const auto &[from, to] : {std::pair(Configuration{}, configuration), std::pair(configuration, Configuration{})}) {
            const Increment change = difference(from, to);
            const auto copy = std::get<Increment>(link::decodeIncrement(link::encode(change)));
            REQUIRE(link::encode(copy) == link::encode(change));
            const auto applied = std::get<std::shared_ptr<const Configuration>>(applyIncrement(from, copy));
            REQUIRE(link::encode(*applied) == link::encode(to));
        }
    }
    SECTION("results")
    {
        const CommandResult result{CommandOutcome::StoredResponse, "text", 200, "answer"};
        REQUIRE(std::get<CommandResult>(link::decodeCommandResult(link::encode(result))) == result);
    }
}

// Guards against crashes and out-of-bounds reads on truncated or corrupt frames of a faulty or malicious peer.
TEST_CASE("truncated and corrupt messages are rejected or decoded safely")
{
    constexpr std::uint64_t seed = 20261204;
    INFO("seed " << seed);
    std::mt19937_64 random(seed);
    std::size_t rejected = 0;
    const auto check = [&](const Bytes &bytes, auto decode) {
        for (std::size_t size = 0; size < bytes.size() / 2; ++size) {
            // The index is 1 for a CodecError.
            rejected += decode(std::span(bytes).first(size)).index();
        }
        for (int i = 0; i < 300; ++i) {
            Bytes damaged = bytes;
            damaged[random() % damaged.size()] = static_cast<std::uint8_t>(random());
            rejected += decode(damaged).index();
        }
    };
    for (const Command &command : allCommands()) {
        check(link::encode(command), link::decodeCommand);
    }
    for (const ConsensusMessage &message : allMessages()) {
        check(link::encode(message), link::decodeConsensusMessage);
    }
    check(link::encode(fullConfiguration()), link::decodeConfiguration);
    check(link::encode(difference({}, fullConfiguration())), link::decodeIncrement);
    REQUIRE(rejected > 1000);
    REQUIRE(std::holds_alternative<link::CodecError>(link::decodeCommand({})));
}
