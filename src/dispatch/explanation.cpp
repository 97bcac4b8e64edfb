#include "mimosahollow/dispatch/explanation.h"

#include "internal.h"

namespace mimosahollow::dispatch {

namespace {

/** Fills in @p server and returns its option if it can take the call. */
std::optional<staleload::ServerOption>
explainServer(DispatchState &state, ServerView &view, const Call &call, const ReviewBasis &basis, TimePoint now, ServerExplanation &server)
{
    server.server = view.record.id;
    server.address = view.record.address;
    server.domain = view.record.domain;
    server.running = view.running;
    server.others = staleload::expectedCalls(basis.age, view.othersRunning, view.record.slots);
    server.capacity = capacity(state, view, basis.service->engine.has_value());
    server.pace = currentPace(state, view, now);
    server.excludedBy = whyUnusable(state, view, call, now);
    if (server.excludedBy.empty() && now < view.silentUntil) {
        server.excludedBy = "silent";
    }
    if (!server.excludedBy.empty()) {
        return std::nullopt;
    }
    const Review result = review(state, view, call, basis, now);
    if (result.obstacle) {
        const bool isLoading = result.obstacle == RefusalCause::AdapterNotLoaded && result.copy.readyAt > now;
        server.excludedBy = isLoading ? "adapter-loading" : toString(*result.obstacle);
        return std::nullopt;
    }
    server.cost = result.option.cost;
    return result.option;
}

} // namespace

Explanation explain(const DispatchState &state, const Call &call, TimePoint now)
{
    // decide() draws random numbers and notes wishes for permits, also without counting a call.
    DispatchState scratch = state;
    Explanation explanation{decide(scratch, call, now), {}};
    const catalog::ServiceSpec *service = state.catalog ? state.catalog->findService(call.service) : nullptr;
    if (service == nullptr) {
        return explanation;
    }
    scratch = state;
    const ReviewBasis basis = reviewBasis(scratch, call, *service, now);
    std::vector<staleload::ServerOption> options;
    std::vector<std::size_t> candidates; // places in the explanation
    unsigned slots = 0;
    for (auto &[id, view] : scratch.servers) {
        if (view.record.service != call.service) {
            continue;
        }
        ServerExplanation server;
        if (const auto option = explainServer(scratch, view, call, basis, now, server)) {
            options.push_back(*option);
            candidates.push_back(explanation.servers.size());
            slots += view.record.slots;
        }
        explanation.servers.push_back(std::move(server));
    }
    if (!options.empty() && std::holds_alternative<Send>(explanation.decision)) {
        const std::vector<double> shares = staleload::chances(options, expectedArrivals(scratch, call, slots, basis.age, now));
        for (std::size_t place = 0; place < shares.size(); ++place) {
            explanation.servers[candidates[place]].chance = shares[place];
        }
    }
    return explanation;
}

} // namespace mimosahollow::dispatch
