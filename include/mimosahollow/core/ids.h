#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace mimosahollow {

// Numbers assigned by the control state machine in log order; the same on every instance. 0 means "none".
enum class OrganisationId : std::uint32_t {};
enum class AdapterId : std::uint32_t { // one adapter at one version
};
enum class ServerId : std::uint32_t {};
enum class InstanceId : std::uint32_t {};
enum class DomainId : std::uint32_t {};
enum class PoolId : std::uint32_t {};

/** Fencing number of a lease or an order. Only grows. */
using FencingNumber = std::uint64_t;

/** Number of a configuration version or log index. */
using Version = std::uint64_t;

template<typename Id>
[[nodiscard]] constexpr std::uint32_t number(Id id) noexcept
{
    return static_cast<std::uint32_t>(id);
}

/** Identifies a request in the fleet: the random start number of the process that accepted it, and a counter. */
struct RequestId
{
    std::uint64_t process = 0;
    std::uint64_t sequence = 0;

    friend auto operator<=>(const RequestId &, const RequestId &) = default;
};

} // namespace mimosahollow

template<>
struct std::hash<mimosahollow::RequestId>
{
    std::size_t operator()(const mimosahollow::RequestId &id) const noexcept
    {
        return static_cast<std::size_t>(id.process ^ (id.sequence * 0x9E3779B97F4A7C15ULL));
    }
};
