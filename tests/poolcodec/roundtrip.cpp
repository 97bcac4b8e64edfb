#include "mimosahollow/link/poolcodec.h"

#include <catch2/catch.hpp>

#include <limits>

using namespace mimosahollow;
using namespace mimosahollow::link;

namespace {

const TimePoint sent{seconds(1000)};
const TimePoint received{seconds(5000)}; // another machine's clock

template<typename Message>
Message passOn(const Message &message)
{
    return std::get<Message>(std::get<PoolMessage>(decodePoolMessage(encode(message, sent), received)));
}

PoolAcquire acquire()
{
    PoolAcquire message;
    message.pool = PoolId{3};
    message.request = {{1, 2}, InstanceId{4}, OrganisationId{5}, 2.5, AdapterId{6}, 70, 80, 90, {11, 12}, sent + seconds(9), false};
    return message;
}

} // namespace

// Guards against fields that are lost, swapped or defaulted on the way.
TEST_CASE("Pool messages arrive as they were sent")
{
    SECTION("a request, with its deadline on the receiver's clock")
    {
        PoolAcquire expected = acquire();
        expected.request.deadline = received + seconds(9);
        REQUIRE(passOn(acquire()) == expected);
    }
    SECTION("a grant and a refusal")
    {
        const PoolAcquireReply grant = scheduling::Grant{{1, 2}, InstanceId{3}, 4, 5, ServerId{6}, AdapterId{7}, true};
        const PoolAcquireReply refusal = scheduling::Refusal{{1, 2}, InstanceId{3}, RefusalReason::NoCapacity, milliseconds(250)};
        REQUIRE(passOn(grant) == grant);
        REQUIRE(passOn(refusal) == refusal);
    }
    SECTION("a release")
    {
        const PoolRelease release{PoolId{1}, {{2, 3}, 4, 5, scheduling::ReleaseOutcome::ConnectionReset, 6, milliseconds(7)}};
        REQUIRE(passOn(release) == release);
    }
    SECTION("a limit that a server names")
    {
        const PoolLimitStatement limit{PoolId{1}, {{2, 3}, 4, 5, 6.5}};
        REQUIRE(passOn(limit) == limit);
    }
    SECTION("a report of held grants")
    {
        PoolGrantReport report{PoolId{1}, {InstanceId{2}, {{{3, 4}, 5, 6, ServerId{7}, OrganisationId{8}, AdapterId{9}, 10, sent + seconds(1), 7}}}};
        const auto arrived = passOn(report);
        report.report.grants[0].deadline = received + seconds(1);
        REQUIRE(arrived == report);
    }
    SECTION("a summary")
    {
        const scheduling::PoolSummary summary{
            PoolId{1}, 2, true, 3, 4, 5, milliseconds(6), milliseconds(7), {AdapterId{8}, AdapterId{9}}, {{AdapterId{8}, milliseconds(10)}}, {}};
        REQUIRE(passOn(summary) == summary);
    }
    SECTION("a summary with ended servers, sound answers and quarantined parts, with their times on the receiver's clock")
    {
        const auto summaryAt = [](TimePoint now) {
            scheduling::PoolSummary summary;
            summary.crashEvidence.ends = {{{"11", 12, {"13", "14"}}, now - seconds(15)}, {{"16", 17, {}}, now - milliseconds(18)}};
            summary.crashEvidence.soundAnswers = {{"14", now - seconds(19)}};
            summary.crashEvidence.quarantinedSince = {{"13", now - seconds(20)}};
            return summary;
        };
        REQUIRE(passOn(summaryAt(sent)) == summaryAt(received));
    }
    SECTION("an announcement and a report of a server")
    {
        const gateway::BackendAnnouncement announcement{"s", "127.0.0.1:1", "a", "base", 2, 3, 4, 5, true, true, {"x@1", "y@2"}};
        const auto arrived = passOn(announcement);
        REQUIRE(std::tie(arrived.name, arrived.address, arrived.failureDomain, arrived.kind) == std::make_tuple("s", "127.0.0.1:1", "a", "base"));
        REQUIRE(std::tie(arrived.incarnation, arrived.slots, arrived.adapterSlots, arrived.coldLimit) == std::make_tuple(2U, 3U, 4U, 5U));
        REQUIRE((arrived.checksFencing && arrived.leaving && arrived.adapters == announcement.adapters));
        const auto report = passOn(gateway::BackendReport{"s", 2, 3, 4, {"x@1"}});
        REQUIRE(std::tie(report.name, report.incarnation, report.running, report.queued) == std::make_tuple("s", 2U, 3U, 4U));
        REQUIRE(report.adapters == std::vector<std::string>{"x@1"});
    }
}

// Guards against reading beyond a frame and against values that the decision code does not expect.
TEST_CASE("Damaged pool messages are rejected")
{
    std::vector<std::uint8_t> bytes = encode(acquire(), sent);
    SECTION("every truncation")
    {
        for (std::size_t size = 0; size < bytes.size(); ++size) {
            REQUIRE(std::get<PoolCodecError>(decodePoolMessage(std::span(bytes).first(size), received)) == PoolCodecError::Malformed);
        }
    }
    SECTION("any single damaged byte of a summary, with aligned access only") // found by the fuzz target under the sanitizers
    {
        const scheduling::PoolSummary summary{PoolId{1},
                                              2,
                                              true,
                                              3,
                                              4,
                                              5,
                                              milliseconds(6),
                                              milliseconds(7),
                                              {AdapterId{8}},
                                              {{AdapterId{8}, milliseconds(10)}},
                                              {{{{"s", 9, {"p"}}, sent}}, {{"p", sent}}, {{"q", sent}}}};
        const std::vector<std::uint8_t> whole = encode(summary, sent);
        for (std::size_t i = 0; i < whole.size() * 256; ++i) {
            bytes = whole;
            bytes[i / 256] = static_cast<std::uint8_t>(i % 256);
            const auto decoded = decodePoolMessage(bytes, received);
            if (const auto *message = std::get_if<PoolMessage>(&decoded)) {
                const auto again = decodePoolMessage(encode(*message, received), received);
                REQUIRE(std::holds_alternative<PoolMessage>(again));
            }
        }
    }
    // Guards against numbers that are read in place from a vector that starts at an address for smaller ones.
    SECTION("any single damaged byte of a request, with aligned access only")
    {
        const std::vector<std::uint8_t> whole = bytes;
        for (std::size_t i = 0; i < whole.size() * 256; ++i) {
            bytes = whole;
            bytes[i / 256] = static_cast<std::uint8_t>(i % 256);
            const auto decoded = decodePoolMessage(bytes, received);
            if (const auto *message = std::get_if<PoolMessage>(&decoded)) {
                REQUIRE(std::holds_alternative<PoolMessage>(decodePoolMessage(encode(*message, received), received)));
            }
        }
    }
    SECTION("a weight that is not a positive number, and a deadline that would overflow")
    {
        for (const double weight : {0.0, -1.0, std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity()}) {
            PoolAcquire message = acquire();
            message.request.weight = weight;
            REQUIRE(std::get<PoolCodecError>(decodePoolMessage(encode(message, sent), received)) == PoolCodecError::ValueOutOfRange);
        }
        PoolAcquire message = acquire();
        message.request.deadline = sent + std::chrono::hours(2);
        REQUIRE(std::get<PoolCodecError>(decodePoolMessage(encode(message, sent), received)) == PoolCodecError::ValueOutOfRange);
    }
    SECTION("a reason and an outcome that do not exist")
    {
        const PoolAcquireReply refusal = scheduling::Refusal{{1, 2}, InstanceId{3}, static_cast<RefusalReason>(200), {}};
        REQUIRE(std::get<PoolCodecError>(decodePoolMessage(encode(refusal, sent), received)) == PoolCodecError::ValueOutOfRange);
        const PoolRelease release{PoolId{1}, {{2, 3}, 4, 5, static_cast<scheduling::ReleaseOutcome>(99), 6, {}}};
        REQUIRE(std::get<PoolCodecError>(decodePoolMessage(encode(release, sent), received)) == PoolCodecError::ValueOutOfRange);
    }
}
