#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <functional>
#include <string>
#include <vector>

namespace mimosahollow::tests {

/** Stand-in of the platform's API. It notes each call and answers with the status that the test gives, or not at all. */
class PlatformApi
{
public:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;

    explicit PlatformApi(boost::asio::io_context &context) : m_acceptor(context, {boost::asio::ip::address_v4::loopback(), 0})
    {
        boost::asio::co_spawn(context, accept(), boost::asio::detached);
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

    std::function<unsigned()> status = [] { /**< Of the next answer; 0: none. */
                                            return 200U;
    };
    std::vector<Request> requests;
    std::vector<boost::system::error_code> ends; /**< Of connections. */

private:
    boost::asio::awaitable<void> accept()
    {
        while (true) {
            auto [error, socket] = co_await m_acceptor.async_accept(boost::asio::as_tuple(boost::asio::use_awaitable));
            if (error) {
                co_return;
            }
            boost::asio::co_spawn(m_acceptor.get_executor(), serve(std::move(socket)), boost::asio::detached);
        }
    }

    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket)
    {
        namespace http = boost::beast::http;
        constexpr auto token = boost::asio::as_tuple(boost::asio::use_awaitable);
        boost::beast::flat_buffer buffer;
        while (true) {
            Request request;
            if (const auto [error, count] = co_await http::async_read(socket, buffer, request, token); error) {
                ends.push_back(error);
                co_return;
            }
            requests.push_back(std::move(request));
            if (const unsigned code = status(); code != 0) {
                http::response<http::empty_body> response(static_cast<http::status>(code), 11);
                response.prepare_payload();
                co_await http::async_write(socket, response, token);
            }
        }
    }

    boost::asio::ip::tcp::acceptor m_acceptor;
};

} // namespace mimosahollow::tests
