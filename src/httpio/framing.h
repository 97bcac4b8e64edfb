#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <string>

namespace mimosahollow::httpio {

/**
 * Returns an error message if the message framing of @p request is invalid or ambiguous, otherwise an empty string.
 *
 * Such a request may smuggle another one; its connection must be closed.
 */
[[nodiscard]] std::string findFramingError(const boost::beast::http::request<boost::beast::http::string_body> &request);

} // namespace mimosahollow::httpio
