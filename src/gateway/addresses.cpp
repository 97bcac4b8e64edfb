#include "addresses.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>
#include <string>

namespace mimosahollow {

std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view host = address.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    const std::string_view portText = address.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, status] = std::from_chars(portText.data(), portText.data() + portText.size(), port);
    if (status != std::errc() || end != portText.data() + portText.size()) {
        return std::nullopt;
    }
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(std::string(host), error);
    if (error) {
        return std::nullopt;
    }
    return boost::asio::ip::tcp::endpoint(ip, port);
}

boost::system::error_code openListener(boost::asio::ip::tcp::acceptor &acceptor, const boost::asio::ip::tcp::endpoint &endpoint)
{
    boost::system::error_code error;
    acceptor.open(endpoint.protocol(), error);
    if (!error) {
        acceptor.set_option(boost::asio::ip::tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        acceptor.bind(endpoint, error);
    }
    if (!error) {
        acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    }
    return error;
}

} // namespace mimosahollow
