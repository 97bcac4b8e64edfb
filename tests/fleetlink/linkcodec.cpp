#include "mimosahollow/fleetlink/linkmessage.h"

#include <catch2/catch.hpp>

#include <random>

using namespace mimosahollow;
using namespace mimosahollow::fleetlink;

namespace {

template<typename Message>
Message roundTrip(const Message &message)
{
    auto decoded = decode(encode(message));
    REQUIRE(std::holds_alternative<LinkMessage>(decoded));
    REQUIRE(std::holds_alternative<Message>(std::get<LinkMessage>(decoded)));
    return std::get<Message>(std::get<LinkMessage>(decoded));
}

EntryReport fullReport()
{
    EntryReport report;
    report.stamp = 7;
    report.tokenWishes = {{"one", 12.5}};
    report.returned = {{"two", 8}};
    report.running = {{17, 3}};
    report.suspected = {"s9"};
    report.wantsFeed = true;
    report.demand = {{"base", "a1", "chat", 4, 5, 2, 6}};
    report.spent = {{"one", 100, 250}};
    report.hasHistory = true;
    report.ends = {{{"s8", 12, {"5c1e", "91bd"}}, 40}};
    report.soundParts = {{"5c1e", 90}};
    report.limits = {{{"s7", 3, 4.5}, 60}};
    report.permitRequests = {{"s7", 2, 1}};
    report.paces = {{17, 812.5, 70'000}};
    report.lateLoads = 3;
    report.promptLoads = 21;
    report.incarnation = 99;
    report.wallMilliseconds = 1'780'000'000'123;
    report.usage = {{355'000'000, "one", 41}};
    return report;
}

} // namespace

// Guards against fields that are lost or exchanged between instances.
// Guards against an order that changes on its way to the coordinator that sends it.
TEST_CASE("Orders pass between coordinators unchanged")
{
    const placement::ModelOrder order{"s1", "10.0.0.9:80", 7, placement::OrderKind::Unload, "base", "a3", 2, 9, 41};
    const auto request = decode(encode(OrderRequest{5, 3, 1234, order}));
    REQUIRE(std::holds_alternative<LinkMessage>(request));
    const auto &copy = std::get<OrderRequest>(std::get<LinkMessage>(request));
    CHECK(copy.number == 5);
    CHECK(copy.term == 3);
    CHECK(copy.credit == 1234);
    CHECK(copy.order.server == "s1");
    CHECK(copy.order.address == "10.0.0.9:80");
    CHECK(copy.order.born == 7);
    CHECK(copy.order.kind == placement::OrderKind::Unload);
    CHECK(copy.order.adapter == "a3");
    CHECK(copy.order.version == 2);
    CHECK(copy.order.expectedSequence == 9);
    CHECK(copy.order.fencingNumber == 41);
    const auto reply = decode(encode(OrderReply{5, placement::OrderOutcome::OtherInstance}));
    CHECK(std::get<OrderReply>(std::get<LinkMessage>(reply)).outcome == placement::OrderOutcome::OtherInstance);
    const auto credit = decode(encode(OrderCredit{99, 1'767'225'600'000}));
    CHECK(std::get<OrderCredit>(std::get<LinkMessage>(credit)).stamp == 99);
    CHECK(std::get<OrderCredit>(std::get<LinkMessage>(credit)).wallMilliseconds == 1'767'225'600'000);
}

TEST_CASE("Messages between instances keep their content")
{
    const EntryReport report = roundTrip(fullReport());
    CHECK(report.stamp == 7);
    CHECK(report.demand[0].waiting == 4);
    CHECK(report.demand[0].started == 5);
    CHECK(report.demand[0].inTime == 2);
    CHECK(report.demand[0].running == 6);
    CHECK(report.spent[0].ageMilliseconds == 250);
    CHECK(report.hasHistory);
    CHECK(report.running[0].serverKey == 17);
    CHECK(report.running[0].running == 3);
    CHECK(report.suspected == std::vector<std::string>{"s9"});
    REQUIRE(report.ends.size() == 1);
    CHECK(report.ends[0].end.server == "s8");
    CHECK(report.ends[0].end.born == 12);
    CHECK(report.ends[0].end.parts == std::vector<std::string>{"5c1e", "91bd"});
    CHECK(report.ends[0].ageMilliseconds == 40);
    REQUIRE(report.soundParts.size() == 1);
    CHECK(report.soundParts[0].part == "5c1e");
    CHECK(report.soundParts[0].ageMilliseconds == 90);
    REQUIRE(report.limits.size() == 1);
    CHECK(report.limits[0].limit.server == "s7");
    CHECK(report.limits[0].limit.born == 3);
    CHECK(report.limits[0].limit.callsPerSecond == 4.5);
    CHECK(report.limits[0].ageMilliseconds == 60);
    REQUIRE(report.permitRequests.size() == 1);
    CHECK(report.permitRequests[0].server == "s7");
    CHECK(report.permitRequests[0].wanted == 2);
    CHECK(report.permitRequests[0].returned == 1);
    REQUIRE(report.paces.size() == 1);
    CHECK(report.paces[0].serverKey == 17);
    CHECK(report.paces[0].milliseconds == 812.5);
    CHECK(report.paces[0].count == 65'535); // the largest count of the message
    CHECK(report.lateLoads == 3);
    CHECK(report.promptLoads == 21);
    CHECK(report.incarnation == 99);
    CHECK(report.wallMilliseconds == 1'780'000'000'123);
    REQUIRE(report.usage.size() == 1);
    CHECK(report.usage[0].window == 355'000'000);
    CHECK(report.usage[0].organisation == "one");
    CHECK(report.usage[0].calls == 41);
    CHECK(report.wantsFeed);
    CHECK(report.returned[0].value == 8);
    CHECK(report.tokenWishes[0].name == "one");

    const LeaderReply reply = roundTrip(LeaderReply{7, 9, 6, {{"one", 5}}, true, false, 400, {"91bd"}, {{"s7", 2}}, 1'780'000'000'456, 355'000'001, 291});
    CHECK(reply.fleetMilliseconds == 1'780'000'000'456);
    CHECK(reply.fixedWindow == 355'000'001);
    REQUIRE(reply.permits.size() == 1);
    CHECK(reply.permits[0].server == "s7");
    CHECK(reply.permits[0].permits == 2);
    CHECK(reply.suspectedParts == std::vector<std::string>{"91bd"});
    CHECK(reply.entries == 6);
    CHECK(reply.wantsHistory);
    CHECK(reply.loadMilliseconds == 400);
    CHECK(reply.adapterLoadMilliseconds == 291);

    const PlacementUpdate update = roundTrip(PlacementUpdate{3, {{"s1", 77, {{"base", "a1", 2, 120}}}}, 12});
    CHECK(update.number == 12);
    CHECK(update.servers[0].born == 77);
    CHECK(update.servers[0].adapters[0].readyMilliseconds == 120);

    const LoadDigest digest = roundTrip(LoadDigest{3, {{17, 4}, {18, 70'000}}, true, {{17, 2.5}}, {{18, 240}}});
    REQUIRE(digest.paces.size() == 1);
    CHECK(digest.paces[0].serverKey == 18);
    CHECK(digest.paces[0].hundredths == 240);
    CHECK(digest.knowsLimits);
    REQUIRE(digest.limits.size() == 1);
    CHECK(digest.limits[0].serverKey == 17);
    CHECK(digest.limits[0].callsPerSecond == 2.5);
    CHECK(digest.term == 3);
    CHECK(digest.servers[0].serverKey == 17);
    CHECK(digest.servers[0].running == 4);
    CHECK(digest.servers[1].running == 65'535); // the largest count of the message

    registry::ServerRecord record{"s1", "chat", "10.0.0.1:80", "north", 64, registry::ServerState::Draining, 5, 6, 700, {{"base", "", 1}}};
    const ServerUpdate servers = roundTrip(ServerUpdate{{record}, true});
    CHECK(servers.servers[0] == record);
    CHECK(servers.heardDirectly);

    fleetstate::FleetState state;
    state.index = 4;
    state.catalogVersion = 3;
    const auto withoutText = roundTrip(state);
    CHECK(withoutText.catalogText == nullptr);
    CHECK(withoutText.catalogVersion == 3);
}

// Guards against a peer whose bytes are damaged or hostile.
TEST_CASE("Damaged messages are refused or decoded, and never end the process")
{
    std::minstd_rand random(20261204);
    const control::Bytes whole = encode(fullReport());
    for (std::size_t length = 0; length < whole.size(); ++length) {
        CHECK(std::holds_alternative<LinkCodecError>(decode(std::span(whole).first(length))));
    }
    unsigned refused = 0;
    for (int round = 0; round < 2000; ++round) {
        control::Bytes damaged = whole;
        damaged[random() % damaged.size()] = static_cast<std::uint8_t>(random());
        refused += std::holds_alternative<LinkCodecError>(decode(damaged)) ? 1 : 0;
    }
    CHECK(refused > 0);
}
