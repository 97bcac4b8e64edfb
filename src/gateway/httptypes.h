#pragma once

#include "mimosahollow/core/ids.h"

#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <string>
#include <string_view>

namespace mimosahollow::gateway {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

/** Whether the connection can carry another request. */
enum class ConnectionState : bool {
    Close,
    KeepAlive,
};

/** Text form of a request id, as in the X-Request-Id header. */
[[nodiscard]] std::string toText(const RequestId &id);

} // namespace mimosahollow::gateway
