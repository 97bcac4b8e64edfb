#pragma once

#include <map>
#include <string>

namespace mimosahollow::placement {

/** Counts by failure domain. */
using DomainCounts = std::map<std::string, unsigned>;

/**
 * Part of the next copy of an adapter that each failure domain with calls needs, from 0 to 1: its share of all copies, the next one included, less the
 * copies that it has. Domains without calls need none and are left out.
 */
[[nodiscard]] std::map<std::string, double> domainNeeds(const DomainCounts &calls, const DomainCounts &copies);

} // namespace mimosahollow::placement
