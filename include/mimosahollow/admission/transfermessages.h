#pragma once

#include "mimosahollow/admission/tokens.h"
#include "mimosahollow/core/ids.h"

#include <cstdint>
#include <vector>

namespace mimosahollow::admission {

/** Names both bucket owners of a transfer; a message for another epoch of either is ignored. */
struct TransferHeader
{
    DomainId from{};
    DomainId to{};
    InstanceId sender{};
    FencingNumber fromEpoch = 0;
    FencingNumber toEpoch = 0;
    std::uint64_t sequence = 0; /**< Of the request; the reply repeats it and is accepted once. */

    friend bool operator==(const TransferHeader &, const TransferHeader &) = default;
};

/** State of one bucket that asks for tokens. */
struct TransferWish
{
    AccountId account{};
    Tokens level = 0;
    Tokens capacity = 0;
    Tokens room = 0; /**< Most that may be sent. */

    friend bool operator==(const TransferWish &, const TransferWish &) = default;
};

/** Asks the bucket owner of another failure domain to balance the levels. */
struct TransferRequest
{
    TransferHeader header;
    std::vector<TransferWish> wishes;

    friend bool operator==(const TransferRequest &, const TransferRequest &) = default;
};

struct TransferItem
{
    AccountId account{};
    Tokens amount = 0;

    friend bool operator==(const TransferItem &, const TransferItem &) = default;
};

/** Tokens that the sender has already subtracted. A lost reply loses them. */
struct TransferReply
{
    TransferHeader header;
    std::vector<TransferItem> items;

    friend bool operator==(const TransferReply &, const TransferReply &) = default;
};

} // namespace mimosahollow::admission
