#include "mimosahollow/callerlimits/callerholdings.h"

#include <tuple>

namespace mimosahollow::callerlimits {

ConnectionNumber openConnection(CallerHoldings &holdings, std::string_view address)
{
    const ConnectionNumber number = ++holdings.lastUse;
    holdings.connections.emplace(number, HeldConnection{std::string(address), 0, true, number});
    ++holdings.addresses[std::string(address)].connections;
    return number;
}

void closeConnection(CallerHoldings &holdings, ConnectionNumber number)
{
    const auto found = holdings.connections.find(number);
    if (found == holdings.connections.end()) {
        return;
    }
    holdBytes(holdings, number, 0);
    const auto total = holdings.addresses.find(found->second.address);
    if (--total->second.connections == 0) {
        holdings.addresses.erase(total);
    }
    holdings.connections.erase(found);
}

void holdBytes(CallerHoldings &holdings, ConnectionNumber number, std::size_t bytes)
{
    const auto found = holdings.connections.find(number);
    if (found == holdings.connections.end()) {
        return;
    }
    HeldConnection &connection = found->second;
    AddressTotal &total = holdings.addresses[connection.address];
    holdings.bytes = holdings.bytes - connection.bytes + bytes;
    total.bytes = total.bytes - connection.bytes + bytes;
    connection.bytes = bytes;
}

void beginCall(CallerHoldings &holdings, ConnectionNumber number)
{
    if (const auto found = holdings.connections.find(number); found != holdings.connections.end()) {
        found->second.mayYield = false;
    }
}

void endCall(CallerHoldings &holdings, ConnectionNumber number)
{
    if (const auto found = holdings.connections.find(number); found != holdings.connections.end()) {
        found->second.mayYield = true;
        found->second.lastUse = ++holdings.lastUse;
    }
}

bool isOverBudget(const CallerHoldings &holdings) noexcept
{
    return holdings.connections.size() > holdings.budget.connections || holdings.bytes > holdings.budget.bytes;
}

std::optional<ConnectionNumber> connectionToClose(const CallerHoldings &holdings)
{
    if (!isOverBudget(holdings)) {
        return std::nullopt;
    }
    const bool isMemory = holdings.bytes > holdings.budget.bytes;
    std::optional<ConnectionNumber> chosen;
    std::tuple<std::size_t, bool, std::size_t, std::uint64_t> most;
    for (const auto &[number, connection] : holdings.connections) {
        const std::size_t bytes = isMemory ? connection.bytes : 0;
        if (isMemory && (!connection.mayYield || bytes == 0)) { // a call that runs keeps its memory until it ends
            continue;
        }
        const AddressTotal &total = holdings.addresses.find(connection.address)->second;
        // Of one address, connections without a call go first, then the largest request, then what has been unused for the longest time.
        const std::tuple rank{isMemory ? total.bytes : total.connections, connection.mayYield, bytes, ~connection.lastUse};
        if (!chosen || rank > most) {
            chosen = number;
            most = rank;
        }
    }
    return chosen;
}

} // namespace mimosahollow::callerlimits
