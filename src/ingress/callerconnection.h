#pragma once

#include "gateway/callerwatch.h"
#include "ingress/entry.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>

namespace mimosahollow::ingress {

using CallerRequest = boost::beast::http::request<boost::beast::http::string_body>;

/** Client connection; processes one call at a time. */
struct CallerConnection
{
    CallerConnection(Entry &owner, boost::asio::ip::tcp::socket socket)
        : entry(owner), stream(std::move(socket)), watch(std::make_shared<gateway::CallerWatch>(stream, buffer))
    {
    }
    Entry &entry;
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    std::shared_ptr<gateway::CallerWatch> watch;
    callerlimits::ConnectionNumber number = 0;
    bool keepAlive = true; /**< Whether the connection stays open after the current call. */
};

} // namespace mimosahollow::ingress
