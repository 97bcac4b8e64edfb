#pragma once

#include "mimosahollow/callerlimits/callerholdings.h"
#include "mimosahollow/core/time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace mimosahollow::httpio {

struct HttpCall
{
    std::string method;
    std::string target;
    std::string body;
};

struct HttpReply
{
    unsigned status = 200;
    std::string body;
    std::string contentType = "application/json";
    std::vector<std::pair<std::string, std::string>> headers;
};

struct HttpListenerOptions
{
    std::string address; /**< "IP:port". */
    std::size_t bodyBytes = std::size_t{8} << 20; /**< Twice the largest configuration. */
    Duration readTimeout = seconds(20); /**< Also for idle connections. */
    std::size_t headBytes = 16'384;
    /** Three of the largest bodies at a time, and more connections than a coordinator has backend servers and operators. */
    callerlimits::CallerBudget callers{2000, std::size_t{24} << 20U};
};

using HttpHandler = std::function<boost::asio::awaitable<HttpReply>(HttpCall)>;

/** Small HTTP server for calls of operators, backend servers and the platform. One handler call for each request. */
class HttpListener
{
public:
    HttpListener(boost::asio::io_context &context, HttpListenerOptions options, HttpHandler handler);
    ~HttpListener();
    HttpListener(const HttpListener &) = delete;
    HttpListener &operator=(const HttpListener &) = delete;

    /** Opens the listener. Returns an error message or nothing. */
    [[nodiscard]] std::string start();

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

/** Opens @p acceptor at @p address. Returns an error message or nothing. */
[[nodiscard]] std::string listen(boost::asio::ip::tcp::acceptor &acceptor, const std::string &address);

} // namespace mimosahollow::httpio
