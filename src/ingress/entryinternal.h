#pragma once

#include "fleetlink/bootclock.h"
#include "ingress/entry.h"

#include <boost/asio/steady_timer.hpp>

#include <optional>
#include <string>

namespace mimosahollow::ingress {

/** Lead of the boot clock over the steady clock in milliseconds; it grows while the machine is suspended. */
[[nodiscard]] inline std::int64_t bootLead(TimePoint now)
{
    return fleetlink::bootMilliseconds() - std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count();
}

/** A call that waits for a backend server. */
struct Entry::WaitingCall
{
    explicit WaitingCall(boost::asio::io_context &context) : timer(context)
    {
    }
    const dispatch::Call *call = nullptr;
    boost::asio::steady_timer timer;
    std::optional<ServerChoice> choice;
    TimePoint until{};
    dispatch::RefusalCause cause{}; /**< Why it waits. */
};

/** A call that waits for tokens of its organisation. */
struct Entry::TokenWaiter
{
    explicit TokenWaiter(boost::asio::io_context &context) : timer(context)
    {
    }
    boost::asio::steady_timer timer;
    std::string organisation;
    double tokens = 0;
    unsigned replies = 0; // from the leader since the wait began
    std::optional<bool> granted;
    bool isAbandoned = false;
};

} // namespace mimosahollow::ingress
