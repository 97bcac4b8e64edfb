#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace mimosahollow::quarantine {

/** What stays the same when a request comes again, at any instance and with another id and other headers. */
struct RequestIdentity
{
    std::string_view organisation; /**< Empty on a route without authentication. */
    std::string_view method;
    std::string_view host;
    std::string_view target; /**< Path and query. */
    std::string_view body;
};

/** Set in the hashes of whole requests, and not in those of prompt parts. */
inline constexpr std::uint64_t requestHashBit = 1ULL << 63U;

[[nodiscard]] std::uint64_t requestHash(const RequestIdentity &identity);

/** Name under which a whole request or, by its hash, a prompt part is judged. */
[[nodiscard]] std::string nameOfHash(std::uint64_t hash);

/** The name of its hash. */
[[nodiscard]] std::string requestName(const RequestIdentity &identity);

/** Whether @p name is that of a whole request, not of a prompt part. */
[[nodiscard]] bool isRequestName(std::string_view name) noexcept;

} // namespace mimosahollow::quarantine
