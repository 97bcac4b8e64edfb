#pragma once

#include "mimosahollow/admission/tokens.h"
#include "mimosahollow/core/ids.h"

#include <cstdint>
#include <vector>

namespace mimosahollow::admission {

/** Identifies the two bucket owners of a transfer. A message with another epoch of either owner is ignored. */
struct TransferHeader
{
    DomainId from{};
    DomainId to{};
    InstanceId sender{};
    FencingNumber fromEpoch = 0;
    FencingNumber toEpoch = 0;
    std::uint64_t sequence = 0; /**< Number of the request; the reply repeats it and is accepted once. */

    friend bool operator==(const TransferHeader &, const TransferHeader &) = default;
};

/** State of a bucket for which tokens are requested. */
struct TransferWish
{
    AccountId account{};
    Tokens level = 0;
    Tokens capacity = 0;
    Tokens room = 0; /**< Upper limit of the transferred amount. */

    friend bool operator==(const TransferWish &, const TransferWish &) = default;
};

/** Requests tokens from the bucket owner of another failure domain, to balance the levels. */
struct TransferRequest
{
    TransferHeader header;
    std::vector<TransferWish> wishes;

    friend bool operator==(const TransferRequest &, const TransferRequest &) = default;
};

/** Tokens transferred for one account. */
struct TransferItem
{
    AccountId account{};
    Tokens amount = 0;

    friend bool operator==(const TransferItem &, const TransferItem &) = default;
};

/** Transferred tokens, already subtracted by the sender. They are lost if the reply is lost. */
struct TransferReply
{
    TransferHeader header;
    std::vector<TransferItem> items;

    friend bool operator==(const TransferReply &, const TransferReply &) = default;
};

} // namespace mimosahollow::admission
