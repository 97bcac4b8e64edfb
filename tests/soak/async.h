#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>
#include <string>

namespace mimosahollow::soak {

inline constexpr auto completionToken = boost::asio::as_tuple(boost::asio::use_awaitable);

[[nodiscard]] inline boost::asio::ip::tcp::endpoint endpointOf(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    return {boost::asio::ip::make_address(address.substr(0, colon)), static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))};
}

[[nodiscard]] inline std::chrono::steady_clock::duration durationOf(double seconds)
{
    return std::chrono::duration_cast<std::chrono::steady_clock::duration>(std::chrono::duration<double>(seconds));
}

inline boost::asio::awaitable<void> sleepFor(boost::asio::io_context &context, double seconds)
{
    boost::asio::steady_timer timer(context, durationOf(seconds));
    co_await timer.async_wait(completionToken);
}

} // namespace mimosahollow::soak
