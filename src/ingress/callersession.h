#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace mimosahollow::ingress {

class Entry;

/** Serves the requests on one client connection until it is closed. */
boost::asio::awaitable<void> serveCaller(Entry &entry, boost::asio::ip::tcp::socket socket);

} // namespace mimosahollow::ingress
