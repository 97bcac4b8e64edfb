#pragma once

#include "mimosahollow/link/linkoptions.h"

#include <boost/asio/ssl/context.hpp>

#include <memory>
#include <string>
#include <variant>

namespace mimosahollow::link {

using TlsContext = std::shared_ptr<boost::asio::ssl::context>;

/** Reads @p files. Both sides must present a certificate that the authority has issued. Returns an error message otherwise. */
[[nodiscard]] std::variant<TlsContext, std::string> loadTls(const TlsFiles &files);

} // namespace mimosahollow::link
