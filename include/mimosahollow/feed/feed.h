#pragma once

#include "mimosahollow/core/time.h"
#include "mimosahollow/fleetlink/linkmessage.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/**
 * Distribution of the leader's placements and load digests: once to a coordinator of each failure domain, which passes them on to the
 * entry instances there. Traffic between failure domains then grows with their number and not with that of the entry instances.
 */
namespace mimosahollow::feed {

/** Connection over which the feed can be sent. */
struct Subscriber
{
    std::uint64_t peer = 0; /**< Number of the connection. */
    std::string name;
    std::string domain;
    bool isEntry = false;
    bool wantsDirect = false; /**< The entry instance receives nothing from a coordinator of its failure domain. */
};

/** Connections to which the leader sends, in ascending order. */
[[nodiscard]] std::vector<std::uint64_t> leaderReceivers(std::span<const Subscriber> subscribers, std::string_view ownDomain);
/** Connections to which another coordinator passes on what it receives, in ascending order. */
[[nodiscard]] std::vector<std::uint64_t> relayReceivers(std::span<const Subscriber> subscribers, std::string_view ownDomain);

/** Newest placement of each backend server, for receivers that have none yet. */
struct FeedTable
{
    struct Row
    {
        fleetlink::ServerPlacement placement;
        TimePoint storedAt{}; /**< To which the remaining load times of the placement refer. */
    };
    control::Term term = 0;
    std::uint64_t number = 0; /**< Of the newest update. */
    std::map<std::string, Row, std::less<>> rows;
};

/** Stores @p update. Returns false if it belongs to an older term than the table. */
bool store(FeedTable &table, const fleetlink::PlacementUpdate &update, TimePoint now);
/** Whether @p placement is to be published: it differs from the stored one by more than the time that has passed, or that one is old. */
[[nodiscard]] bool isNews(const FeedTable &table, const fleetlink::ServerPlacement &placement, TimePoint now);
/** The whole table as one update. */
[[nodiscard]] fleetlink::PlacementUpdate contentOf(const FeedTable &table, TimePoint now);

} // namespace mimosahollow::feed
