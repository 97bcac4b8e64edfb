#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string_view>

namespace mimosahollow {

/** Parses "IP:port" or "[IPv6]:port". */
[[nodiscard]] std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view address);

/** Opens @p acceptor at @p endpoint; an address that was in use shortly before may be used again. */
[[nodiscard]] boost::system::error_code openListener(boost::asio::ip::tcp::acceptor &acceptor, const boost::asio::ip::tcp::endpoint &endpoint);

} // namespace mimosahollow
