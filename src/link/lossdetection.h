#pragma once

#include "mimosahollow/core/time.h"

#include <boost/asio/ip/tcp.hpp>

namespace mimosahollow::link {

/** Lets the operating system end @p socket when its peer confirms nothing for @p timeout, also while nothing is sent. */
void detectLoss(boost::asio::ip::tcp::socket &socket, Duration timeout);

} // namespace mimosahollow::link
