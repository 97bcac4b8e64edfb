#pragma once

#include "mimosahollow/placement/placementstate.h"
#include "mimosahollow/registry/serverrecord.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace mimosahollow::catalog {
class CatalogIndex;
}

namespace mimosahollow::placement {

/** A leader of @p term begins. It knows nothing of the engines. */
void beginTerm(PlacementState &state, std::uint64_t term, TimePoint now);

/** Takes over an announced backend server. @p isUsable: nothing but its own state keeps calls from it. */
void updateServer(PlacementState &state, const registry::ServerRecord &record, bool isUsable, TimePoint now);

/** Calls of one adapter at one entry instance. */
struct EntryDemand
{
    unsigned waiting = 0;
    unsigned inTime = 0; /**< Of the waiting ones, those that a load can still serve within their objective. */
    unsigned started = 0; /**< Since the last report. */
    unsigned running = 0; /**< On engines now. */
};

void recordDemand(PlacementState &state, std::string_view entry, const AdapterKey &key, const std::string &service, const EntryDemand &counts, TimePoint now);

/** @p entry is gone: its calls wait and run no more. */
void removeEntry(PlacementState &state, std::string_view entry);

/** An entry instance cannot open connections to @p server. */
void markUnreachable(PlacementState &state, const std::string &server, TimePoint now);

/** Time until an adapter is loaded that nobody waits for yet. Those that serve nobody in time come after it. */
[[nodiscard]] Duration expectedLoadTime(const PlacementState &state, TimePoint now);

/** Engines whose state is to be read now; marks them. */
[[nodiscard]] std::vector<std::string> takeDueReports(PlacementState &state, TimePoint now);
void applyReport(PlacementState &state, const std::string &server, std::uint64_t born, const ModelReport &report, TimePoint now);
void handleReportFailure(PlacementState &state, const std::string &server, TimePoint now);

/** Orders that are to be sent now; marks them as in flight, at most one for each engine. */
[[nodiscard]] std::vector<ModelOrder> planOrders(PlacementState &state, const catalog::CatalogIndex &catalog, TimePoint now);
void applyOrderReply(PlacementState &state, const ModelOrder &order, OrderOutcome outcome, TimePoint now);

/** Oldest version on which calls of @p key may run; 0 when any will do. */
[[nodiscard]] std::uint64_t requiredVersion(const PlacementState &state, const AdapterKey &key);

} // namespace mimosahollow::placement
