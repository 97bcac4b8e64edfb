#include "framing.h"

#include <boost/beast/core/string.hpp>

namespace mimosahollow::httpio {

namespace beast = boost::beast;
namespace http = beast::http;

std::string findFramingError(const http::request<http::string_body> &request)
{
    // HTTP/1.0 has no Host header.
    const bool needsHost = request.version() >= 11;
    if (request.count(http::field::host) > 1 || (needsHost && request.count(http::field::host) == 0)) {
        return "exactly one Host header is required";
    }
    if (request.count(http::field::authorization) > 1) {
        return "more than one Authorization header";
    }
    if (request.count(http::field::transfer_encoding) > 0) {
        // The parser treats a request with any other value as one without a body, and would parse the body as the next request.
        if (request.count(http::field::transfer_encoding) > 1 || !beast::iequals(request[http::field::transfer_encoding], "chunked")) {
            return "the transfer encoding is not supported";
        }
        if (request.count(http::field::content_length) > 0) {
            return "both a length and a transfer encoding";
        }
    }
    if (request.count(http::field::content_length) > 1) {
        return "more than one Content-Length header";
    }
    if (request.target().empty() || request.target().front() != '/') {
        return "the target must be a path";
    }
    return {};
}

} // namespace mimosahollow::httpio
