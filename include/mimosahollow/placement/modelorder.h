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

/** An order to a backend server to load or unload a base model or an adapter. */
struct ModelOrder
{
    std::string server;
    std::string address;
    std::uint64_t born = 0; /**< Start time of the incarnation that the order is for. */
    OrderKind kind{};
    std::string model;
    std::string adapter; /**< Empty for the weights of the base model. */
    std::uint64_t version = 0; /**< 0: the newest version. */
    std::uint64_t expectedSequence = 0; /**< Number of orders that the server has accepted before; it refuses the order if its count differs. */
    std::uint64_t fencingNumber = 0; /**< Of the order slot's holder. */
};

enum class OrderOutcome : std::uint8_t {
    Accepted, /**< In progress. */
    AlreadyDone, /**< The server is already in the requested state. */
    Conflict, /**< The sequence differs, or another order is in progress. */
    Rejected,
    OtherInstance, /**< Another backend server answers at the address; the addressed one is gone. */
    Unknown, /**< No reply: the order may have been accepted or may still be executed. */
};

/** Models and adapters that a backend server reports. The report lags by several hundred milliseconds. */
struct ModelReport
{
    std::uint64_t born = 0; /**< Start time of the incarnation that answered; 0: not reported. */
    std::uint64_t sequence = 0; /**< Number of accepted orders. */
    bool isBusy = false; /**< Weights are being loaded or unloaded. */
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
