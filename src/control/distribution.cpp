#include "commandsinternal.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace mimosahollow::control {

std::shared_ptr<const Configuration> sharedConfiguration(const ControlState &state)
{
    return std::make_shared<const Configuration>(state.configuration);
}

namespace {

/** Number of changed and removed keys, adapters and servers, the types with many elements. */
std::size_t elementCount(const Increment &increment)
{
    return increment.keys.changed.size() + increment.keys.removed.size() + increment.adapters.changed.size() + increment.adapters.removed.size()
           + increment.servers.changed.size() + increment.servers.removed.size();
}

} // namespace

std::optional<Increment> changesSince(const ControlState &state, Version since)
{
    if (since == state.configuration.logIndex) {
        Increment empty = startIncrement(state);
        empty.to = since;
        return empty;
    }
    const auto first = std::find_if(state.increments.begin(), state.increments.end(), [since](const Increment &increment) {
        return increment.from == since;
    });
    if (first == state.increments.end()) {
        return std::nullopt;
    }
    Increment result = *first;
    for (auto next = std::next(first); next != state.increments.end(); ++next) {
        if (elementCount(result) + elementCount(*next) > state.limits.maximumIncrementElements) {
            return std::nullopt;
        }
        result = composeIncrements(std::move(result), *next);
    }
    return result;
}

} // namespace mimosahollow::control
