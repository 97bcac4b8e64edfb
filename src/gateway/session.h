#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>

namespace mimosahollow::gateway {

class GatewayThread;
enum class ListenerRole : std::uint8_t;

/** Serves one accepted connection until it closes, idles too long or breaks the limits. */
[[nodiscard]] boost::asio::awaitable<void> serveConnection(GatewayThread &thread, boost::asio::ip::tcp::socket socket, ListenerRole role);

} // namespace mimosahollow::gateway
