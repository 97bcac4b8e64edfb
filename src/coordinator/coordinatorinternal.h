#pragma once

#include "coordinator/coordinator.h"

#include <boost/asio/steady_timer.hpp>

#include <optional>
#include <string>
#include <vector>

namespace mimosahollow::coordinator {

/** A proposed change that waits for its log entry to be applied. */
struct Coordinator::PendingChange
{
    explicit PendingChange(boost::asio::io_context &context) : timer(context)
    {
    }
    boost::asio::steady_timer timer;
    control::Term term = 0;
    std::optional<bool> changed; /**< Set once the entry is applied. */
    bool isLost = false; /**< Another entry was committed at its index, or the leadership was lost. */
};

/** A read that waits for a majority to confirm that this coordinator is the leader. */
struct Coordinator::PendingRead
{
    explicit PendingRead(boost::asio::io_context &context) : timer(context)
    {
    }
    boost::asio::steady_timer timer;
    std::optional<bool> confirmed;
};

/** The leader's view of an entry instance. */
struct Coordinator::EntryView
{
    fleetlink::PeerNumber peer = 0;
    TimePoint lastReportAt{};
    bool hasHistory = false; /**< It has reported the tokens that it spent from the grants of an earlier leader. */
    TimePoint historySince{}; /**< Before, it did not run, so that its spending is unknown. */
    std::uint64_t stamp = 0; /**< Of its last report. */
    std::vector<fleetlink::ServerLoad> running; /**< Its running calls. */
    bool wantsFeed = false; /**< It receives no feed from a coordinator of its failure domain. */
    std::map<std::string, unsigned> permits; /**< Issued permits not yet sent to it, by backend server. */
    std::map<std::string, double> granted; /**< Granted tokens not yet sent to it, by organisation. */
};

} // namespace mimosahollow::coordinator
