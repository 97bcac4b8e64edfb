#pragma once

#include "mimosahollow/core/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace mimosahollow::placement {

enum class OrderKind : std::uint8_t {
    Load,
    Unload,
};

/** An order to one backend server to change what it holds. */
struct ModelOrder
{
    std::string server;
    std::string address;
    std::uint64_t born = 0;
    OrderKind kind{};
    std::string model;
    std::string adapter; /**< Empty for the weights of the base model. */
    std::uint64_t version = 0; /**< 0: the newest one. */
    std::uint64_t expectedSequence = 0; /**< Orders that the server has accepted so far; it refuses the order when it has accepted others. */
    std::uint64_t fencingNumber = 0;
};

enum class OrderOutcome : std::uint8_t {
    Accepted, /**< Being carried out. */
    AlreadyDone,
    Conflict, /**< The sequence differs, or another order is under way. */
    Rejected,
    OtherInstance, /**< Another backend server answers at the address: the one that was ordered is gone. */
    Unknown, /**< No answer: it may have been accepted, or may still be carried out. */
};

/** What a backend server reports of its models. It lags by some hundred milliseconds. */
struct ModelReport
{
    std::uint64_t born = 0; /**< Of the incarnation that answered; 0: not told. */
    std::uint64_t sequence = 0;
    bool isBusy = false; /**< Weights are being loaded or dropped. */
    struct Copy
    {
        std::string model;
        std::string adapter;
        std::uint64_t version = 0;
        bool isLoading = false;
    };
    std::vector<Copy> copies;
};

} // namespace mimosahollow::placement
