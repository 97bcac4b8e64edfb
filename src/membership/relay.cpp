#include "mimosahollow/membership/assignment.h"
#include "mimosahollow/membership/view.h"

namespace mimosahollow::membership {

std::string chooseRelay(const View &view, TimePoint now)
{
    const std::string key = "relay " + view.self.failureDomain;
    const KnownInstance *best = nullptr; // null: this instance itself
    const KnownInstance *current = nullptr;
    std::uint64_t bestWeight = rendezvousWeight(key, view.self.name);
    for (const auto &[name, known] : view.known) {
        if (!known.alive || known.record.failureDomain != view.self.failureDomain) {
            continue;
        }
        current = name == view.relay ? &known : current;
        // Only instances of higher weight than this one are candidates, so that relays cannot subscribe to each other in a cycle.
        const std::uint64_t weight = rendezvousWeight(key, name);
        if (weight > bestWeight) {
            best = &known;
            bestWeight = weight;
        }
    }
    const bool currentWorks = current != nullptr || view.relay == view.self.name;
    const bool waitForBest = best != nullptr && !best->relay && now - best->aliveSince < view.options.relayStabilizationTime;
    if (currentWorks && waitForBest) {
        return view.relay;
    }
    return best == nullptr ? view.self.name : best->record.name;
}

std::string chooseUpstream(const View &view, std::span<const std::string> voters, std::uint32_t failures)
{
    // Alternates between the leader and the voters, because the known leader may be outdated and a voter unreachable.
    if (!view.leader.empty() && failures % 2 == 0) {
        return view.leader;
    }
    return voters.empty() ? std::string() : voters[failures / 2 % voters.size()];
}

} // namespace mimosahollow::membership
