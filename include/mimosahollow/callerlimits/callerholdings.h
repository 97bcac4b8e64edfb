#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace mimosahollow::callerlimits {

/** What an instance lets all its callers hold at one time. */
struct CallerBudget
{
    std::size_t connections = std::numeric_limits<std::size_t>::max();
    std::size_t bytes = std::numeric_limits<std::size_t>::max(); /**< Of requests that are being read, wait or run. */
};

using ConnectionNumber = std::uint64_t;

struct HeldConnection
{
    std::string address; /**< Of the caller, without the port. */
    std::size_t bytes = 0;
    bool mayYield = true; /**< No call of it waits or runs; closing it loses none. */
    std::uint64_t lastUse = 0; /**< Grows with each connection that is opened and each call that ends. */
};

struct AddressTotal
{
    std::size_t connections = 0;
    std::size_t bytes = 0;
};

/** Connections and memory that callers hold at one instance. */
struct CallerHoldings
{
    CallerBudget budget;
    std::map<ConnectionNumber, HeldConnection> connections;
    std::map<std::string, AddressTotal, std::less<>> addresses;
    std::size_t bytes = 0;
    std::uint64_t lastUse = 0;
};

[[nodiscard]] ConnectionNumber openConnection(CallerHoldings &holdings, std::string_view address);
/** No effect on a connection that has been closed. */
void closeConnection(CallerHoldings &holdings, ConnectionNumber number);
/** Sets the memory that the request on a connection takes. */
void holdBytes(CallerHoldings &holdings, ConnectionNumber number, std::size_t bytes);
/** A call on the connection begins to wait or run. */
void beginCall(CallerHoldings &holdings, ConnectionNumber number);
void endCall(CallerHoldings &holdings, ConnectionNumber number);

[[nodiscard]] bool isOverBudget(const CallerHoldings &holdings) noexcept;
/**
 * Connection to close next while a budget is exceeded, of the address that holds most of it. Connections without a call go first;
 * for the sake of memory, only they go, since calls that run keep theirs. Nothing when the budgets hold, or when no connection can go.
 */
[[nodiscard]] std::optional<ConnectionNumber> connectionToClose(const CallerHoldings &holdings);

} // namespace mimosahollow::callerlimits
