#pragma once

#include "mimosahollow/placement/placementstate.h"
#include "mimosahollow/registry/serverrecord.h"

#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace mimosahollow::catalog {
class CatalogIndex;
}

namespace mimosahollow::placement {

/** Resets the state, except for the options, at the start of leader term @p term. Engines are unknown until announced. */
void beginTerm(PlacementState &state, std::uint64_t term, TimePoint now);

/** Applies the announced record of a backend server. @p isUsable: its failure domain is not evacuated. */
void updateServer(PlacementState &state, const registry::ServerRecord &record, bool isUsable, TimePoint now);

/** Calls for one adapter at one entry instance. */
struct EntryDemand
{
    unsigned waiting = 0;
    unsigned inTime = 0; /**< Waiting calls that still meet their latency objective if the adapter is loaded now. */
    unsigned started = 0; /**< Since the last report. */
    unsigned running = 0; /**< Currently on engines. */
};

void recordDemand(PlacementState &state, std::string_view entry, const AdapterKey &key, const std::string &service, const EntryDemand &counts, TimePoint now);

/** Names the failure domain of an entry instance; adapters are loaded near the calls that wait for them. */
void setEntryDomain(PlacementState &state, const std::string &entry, const std::string &domain);

/** Drops the waiting and running calls of an entry instance that is gone. */
void removeEntry(PlacementState &state, std::string_view entry);

/** Names the engines that have a limit for their calls; all others have none. */
void setLimitedEngines(PlacementState &state, const std::set<std::string> &engines);

/** Sets the paces of engines, by id: the time that their work takes, 1 for the median of the service. All others are at 1. */
void setEnginePaces(PlacementState &state, const std::map<std::string, double> &paces);

/** Records that an entry instance cannot connect to @p server. */
void markUnreachable(PlacementState &state, const std::string &server, TimePoint now);

/** Has the state of @p server read soon, because a call did not find a copy there. */
void suspect(PlacementState &state, const std::string &server, TimePoint now);

/** Expected time until an adapter without waiting calls would be loaded. Only adapters that still serve calls in time are loaded before it. */
[[nodiscard]] Duration expectedLoadTime(const PlacementState &state, TimePoint now);

/** Returns the engines whose reports are to be read now and marks those reports as in flight. */
[[nodiscard]] std::vector<std::string> takeDueReports(PlacementState &state, TimePoint now);
void applyReport(PlacementState &state, const std::string &server, std::uint64_t born, const ModelReport &report, TimePoint now);
void handleReportFailure(PlacementState &state, const std::string &server, TimePoint now);

/** Returns the orders to send now and marks them as in flight, at most one per engine. */
[[nodiscard]] std::vector<ModelOrder> planOrders(PlacementState &state, const catalog::CatalogIndex &catalog, TimePoint now);
void applyOrderReply(PlacementState &state, const ModelOrder &order, OrderOutcome outcome, TimePoint now);

/**
 * Sets the oldest version of each adapter, by "model/adapter", that calls may use. Calls begin on copies of an older version for 3 s more, if it
 * became required during the term. Returns whether any version has risen.
 */
bool setRequiredVersions(PlacementState &state, const std::map<std::string, std::uint64_t> &versions, TimePoint now);

/** Oldest version of @p key that calls may use; 0: any version. */
[[nodiscard]] std::uint64_t requiredVersion(const PlacementState &state, const AdapterKey &key);

} // namespace mimosahollow::placement
