#pragma once

#include "ingress/callerconnection.h"
#include "mimosahollow/core/refusal.h"
#include "mimosahollow/core/time.h"

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace mimosahollow::ingress {

/** Response that the entry instance generates itself. */
struct LocalResponse
{
    RefusalReason reason{};
    std::string detail;
    std::optional<Duration> retryAfter;
    std::optional<unsigned> status; /**< Overrides the default HTTP status of the reason. */
};

[[nodiscard]] unsigned statusOf(const LocalResponse &response) noexcept;

/** Writes @p response. Returns false when the write failed. */
[[nodiscard]] boost::asio::awaitable<bool> writeLocalResponse(CallerConnection &caller, std::string_view callId, const LocalResponse &response);

/** Writes @p bytes. Returns false when the write failed. */
[[nodiscard]] boost::asio::awaitable<bool> writeBytes(CallerConnection &caller, std::string_view bytes);

/** Writes @p bytes as one chunk of a chunked body. Returns false when the write failed. */
[[nodiscard]] boost::asio::awaitable<bool> writeChunk(CallerConnection &caller, std::string_view bytes);

} // namespace mimosahollow::ingress
