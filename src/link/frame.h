#pragma once

#include "mimosahollow/link/messagekind.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <variant>
#include <vector>

namespace mimosahollow::link {

/** The only version of the protocol so far. */
constexpr std::uint16_t protocolVersion = 1;
constexpr std::size_t frameHeaderBytes = 8;
/** Largest payload of a frame. */
constexpr std::size_t maximumPayloadBytes = std::size_t{4} << 20;
/** Largest payload before the peer has proven that it belongs to the fleet. A Hello takes a few hundred bytes. */
constexpr std::size_t maximumHelloBytes = 4096;

using FrameHeader = std::array<std::uint8_t, frameHeaderBytes>;

/** Header of a frame: payload length (u32), protocol version (u16), kind (u16), all little-endian. */
[[nodiscard]] FrameHeader makeFrameHeader(std::size_t payloadBytes, MessageKind kind) noexcept;

struct Frame
{
    MessageKind kind{};
    std::vector<std::uint8_t> payload;
};

/** The frame is not complete yet. */
struct MoreNeeded
{
};

enum class FrameError : std::uint8_t {
    TooLarge,
    UnsupportedVersion,
    UnknownKind,
};

using FrameResult = std::variant<Frame, MoreNeeded, FrameError>;

/** Splits received bytes into frames. The buffer grows with the bytes that arrive, not with the announced length. */
class FrameReader
{
public:
    /** Where the next bytes go; never empty. */
    [[nodiscard]] std::span<std::uint8_t> space();
    /** @p count bytes were written to space(). */
    void filled(std::size_t count) noexcept;
    /** The next frame. After an error the stream cannot be read further. */
    [[nodiscard]] FrameResult next();
    void setMaximumPayload(std::size_t bytes) noexcept;

private:
    std::vector<std::uint8_t> m_buffer;
    std::size_t m_begin = 0;
    std::size_t m_end = 0;
    std::size_t m_maximumPayload = maximumPayloadBytes;
};

} // namespace mimosahollow::link
