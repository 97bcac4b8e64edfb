#pragma once

#include "coordinator/coordinator.h"

#include <boost/asio/steady_timer.hpp>

#include <optional>
#include <string>
#include <vector>

namespace mimosahollow::coordinator {

/** Waits for an entry of the log to be applied. */
struct Coordinator::PendingChange
{
    explicit PendingChange(boost::asio::io_context &context) : timer(context)
    {
    }
    boost::asio::steady_timer timer;
    control::Term term = 0;
    std::optional<bool> changed; /**< Set once the entry is applied. */
    bool isLost = false; /**< Another entry took its place, or the leadership was lost. */
};

/** Waits for a majority to confirm that this coordinator leads. */
struct Coordinator::PendingRead
{
    explicit PendingRead(boost::asio::io_context &context) : timer(context)
    {
    }
    boost::asio::steady_timer timer;
    std::optional<bool> confirmed;
};

/** An entry instance as the leader sees it. */
struct Coordinator::EntryView
{
    fleetlink::PeerNumber peer = 0;
    TimePoint lastReportAt{};
    bool hasHistory = false; /**< It has told what it spent of the grants of an earlier leader. */
    std::uint64_t stamp = 0; /**< Of its last report. */
    std::vector<fleetlink::NamedNumber> running;
    std::map<std::string, double> granted; /**< Tokens not sent to it yet, by organisation. */
};

} // namespace mimosahollow::coordinator
