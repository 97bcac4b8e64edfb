#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string_view>

namespace mimosahollow {

/** Parses "IP:port" or "[IPv6]:port". */
[[nodiscard]] std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view address);

} // namespace mimosahollow
