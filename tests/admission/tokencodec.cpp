#include "mimosahollow/link/tokencodec.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <limits>
#include <random>

using namespace mimosahollow;
using namespace mimosahollow::admission;

namespace {

const LeaseSession session{DomainId{3}, 9, InstanceId{4}, 0xFFFF'FFFF'FFFF'FFFFULL, 5, 6};

} // namespace

// Guards against fields that the codec drops or swaps, and against damaged frames that it accepts.
TEST_CASE("Token messages are unchanged by encoding and decoding")
{
    const TokenRequest request{session, {{{AccountId{1}, 1.5, 2, 3}, 4, 5, 6}, {{AccountId{2}, 0, 0, 0}, 0, 0, 0}}};
    const TokenReport report{session, true, {{AccountId{7}, 8, 9, 10}}};
    const TokenGrant grant{session, milliseconds(1500), 11, {{AccountId{12}, 13, 14, 15, 16}}};
    const TransferRequest transferRequest{{DomainId{1}, DomainId{2}, InstanceId{3}, 4, 5, 6}, {{AccountId{7}, 8, 9, 10}}};
    const TransferReply transferReply{{DomainId{1}, DomainId{2}, InstanceId{3}, 4, 5, 6}, {{AccountId{7}, 8}}};
    REQUIRE(std::get<TokenRequest>(link::decodeTokenRequest(link::encode(request))) == request);
    REQUIRE(std::get<TokenReport>(link::decodeTokenReport(link::encode(report))) == report);
    REQUIRE(std::get<TokenGrant>(link::decodeTokenGrant(link::encode(grant))) == grant);
    REQUIRE(std::get<TransferRequest>(link::decodeTransferRequest(link::encode(transferRequest))) == transferRequest);
    REQUIRE(std::get<TransferReply>(link::decodeTransferReply(link::encode(transferReply))) == transferReply);

    SECTION("at any alignment of the received bytes")
    {
        std::vector<std::uint8_t> shifted = link::encode(request);
        shifted.insert(shifted.begin(), 0);
        REQUIRE(std::get<TokenRequest>(link::decodeTokenRequest(std::span(shifted).subspan(1))) == request);
    }
    SECTION("a message of another kind is malformed, and so is a truncated message unless only unused trailing bytes are missing")
    {
        const std::vector<std::uint8_t> bytes = link::encode(request);
        REQUIRE(std::get<link::TokenCodecError>(link::decodeTokenGrant(bytes)) == link::TokenCodecError::Malformed);
        for (std::size_t length = 0; length < bytes.size(); ++length) {
            const auto decoded = link::decodeTokenRequest(std::span(bytes).first(length));
            REQUIRE((decoded.index() == 1 || std::get<TokenRequest>(decoded) == request));
        }
    }
    // Guards against structs that are read in place from a vector that starts at an address for smaller ones.
    SECTION("any single damaged byte, with aligned access only")
    {
        const std::vector<std::uint8_t> whole = link::encode(request);
        for (std::size_t i = 0; i < whole.size() * 256; ++i) {
            std::vector<std::uint8_t> damaged = whole;
            damaged[i / 256] = static_cast<std::uint8_t>(i % 256);
            const auto decoded = link::decodeTokenRequest(damaged);
            if (const auto *message = std::get_if<TokenRequest>(&decoded)) {
                REQUIRE(link::decodeTokenRequest(link::encode(*message)).index() == 0);
            }
        }
    }
    SECTION("negative, infinite and NaN amounts are refused")
    {
        for (const double amount : {-1.0, std::nan(""), std::numeric_limits<double>::infinity()}) {
            TokenGrant invalid = grant;
            invalid.items[0].granted = amount;
            REQUIRE(std::get<link::TokenCodecError>(link::decodeTokenGrant(link::encode(invalid))) == link::TokenCodecError::InvalidAmount);
        }
    }
    SECTION("a validity beyond a quota lease is refused")
    {
        TokenGrant invalid = grant;
        invalid.validFor = quotaLease + milliseconds(1);
        REQUIRE(std::get<link::TokenCodecError>(link::decodeTokenGrant(link::encode(invalid))) == link::TokenCodecError::InvalidDuration);
    }
}
