#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

namespace mimosahollow::registry {

/** An adapter, or a base model when @c adapter is empty, that a backend server holds. */
struct HeldModel
{
    std::string model;
    std::string adapter;
    std::uint64_t version = 0;

    friend bool operator==(const HeldModel &, const HeldModel &) = default;
};

enum class ServerState : std::uint8_t {
    Ready,
    Draining, /**< Serves what it has; gets nothing new. */
    Gone, /**< Has left, or was not heard for too long. */
};

/** Sequence of a record whose backend server has said that it leaves: no later announcement of the incarnation counts. */
constexpr std::uint64_t departedSequence = std::numeric_limits<std::uint64_t>::max();

/** What one incarnation of a backend server says of itself. */
struct ServerRecord
{
    std::string id;
    std::string service;
    std::string address; /**< "IP:port". */
    std::string domain;
    unsigned slots = 0;
    ServerState state = ServerState::Ready;
    std::uint64_t born = 0; /**< Milliseconds since 1970 of its start; tells incarnations apart. */
    std::uint64_t sequence = 0; /**< Grows with each announcement of an incarnation. */
    std::uint64_t coldMilliseconds = 0; /**< For how long it stays cold, from the announcement on. */
    std::vector<HeldModel> held;

    friend bool operator==(const ServerRecord &, const ServerRecord &) = default;
};

/** Short form of a server id for messages that name many servers. Two servers of a fleet may share one, very rarely. */
[[nodiscard]] std::uint32_t serverKey(std::string_view id) noexcept;

} // namespace mimosahollow::registry
