#include "mimosahollow/staleload/serveroption.h"

#include <algorithm>
#include <numeric>
#include <vector>

namespace mimosahollow::staleload {

/**
 * Load pattern: counts that reach 65 instances 0.2 s late, while a call takes 0.1 s. Had all of them chosen the server with the lowest count, it would
 * have got every call until the next counts. Each instance therefore draws the server with the chances at which the calls of all of them even the costs
 * out (load interpretation): those below a common level, by how many calls each lacks to reach it.
 */
std::vector<double> chances(std::span<const ServerOption> options, double arrivals)
{
    std::vector<double> shares(options.size());
    if (arrivals <= 0) {
        const auto lowest = std::min_element(options.begin(), options.end(), [](const ServerOption &left, const ServerOption &right) {
            return left.cost < right.cost;
        });
        shares[static_cast<std::size_t>(lowest - options.begin())] = 1;
        return shares;
    }
    // A heap, since of thousands of servers only those below the level are needed in their order.
    std::vector<std::size_t> heap(options.size());
    std::iota(heap.begin(), heap.end(), std::size_t{0});
    const auto isCostlier = [options](std::size_t left, std::size_t right) {
        return options[left].cost > options[right].cost;
    };
    std::make_heap(heap.begin(), heap.end(), isCostlier);
    // The level rises from one cost to the next as long as there are calls left.
    double callsPerCost = 0; // calls that raise the costs of all servers below the level by 1
    double left = arrivals;
    double level = options[heap.front()].cost;
    auto below = heap.end(); // the servers below the level, taken off the heap, are from here on
    while (below != heap.begin()) {
        const ServerOption &next = options[heap.front()];
        const double needed = (next.cost - level) * callsPerCost;
        if (needed >= left) {
            break;
        }
        left -= needed;
        level = next.cost;
        callsPerCost += 1 / next.costPerCall;
        std::pop_heap(heap.begin(), below, isCostlier);
        --below;
    }
    level += left / callsPerCost;
    for (auto place = below; place != heap.end(); ++place) {
        const ServerOption &option = options[*place];
        shares[*place] = (level - option.cost) / option.costPerCall / arrivals;
    }
    return shares;
}

std::size_t chooseServer(std::span<const ServerOption> options, double arrivals, double draw)
{
    const std::vector<double> shares = chances(options, arrivals);
    double rest = draw;
    std::size_t chosen = 0;
    for (std::size_t place = 0; place < shares.size(); ++place) {
        if (shares[place] <= 0) {
            continue;
        }
        chosen = place; // the last one with a chance, should rounding errors leave a rest
        rest -= shares[place];
        if (rest < 0) {
            break;
        }
    }
    return chosen;
}

} // namespace mimosahollow::staleload
