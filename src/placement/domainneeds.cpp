#include "mimosahollow/placement/domainneeds.h"

#include <algorithm>
#include <numeric>

namespace mimosahollow::placement {

namespace {

unsigned total(const DomainCounts &counts)
{
    return std::accumulate(counts.begin(), counts.end(), 0U, [](unsigned sum, const auto &item) {
        return sum + item.second;
    });
}

} // namespace

std::map<std::string, double> domainNeeds(const DomainCounts &calls, const DomainCounts &copies)
{
    const unsigned allCalls = total(calls);
    const unsigned allCopies = total(copies) + 1;
    std::map<std::string, double> needs;
    for (const auto &[domain, count] : calls) {
        if (count == 0) {
            continue;
        }
        const auto found = copies.find(domain);
        const unsigned present = found == copies.end() ? 0 : found->second;
        needs[domain] = std::clamp(static_cast<double>(count) * allCopies / allCalls - present, 0.0, 1.0);
    }
    return needs;
}

} // namespace mimosahollow::placement
