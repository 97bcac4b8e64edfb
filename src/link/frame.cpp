#include "frame.h"

#include <algorithm>
#include <cstring>

namespace mimosahollow::link {

namespace {

/** Small, because there is one buffer for each connection and an instance may have hundreds. */
constexpr std::size_t initialBufferBytes = 16'384;
/** A read with less room than this would cost a system call for few bytes. */
constexpr std::size_t minimumSpaceBytes = 4096;

std::uint32_t readNumber(const std::uint8_t *bytes, unsigned count) noexcept
{
    std::uint32_t value = 0;
    for (unsigned i = 0; i < count; ++i) {
        value |= static_cast<std::uint32_t>(bytes[i]) << (8 * i);
    }
    return value;
}

void writeNumber(std::uint8_t *bytes, std::uint32_t value, unsigned count) noexcept
{
    for (unsigned i = 0; i < count; ++i) {
        bytes[i] = static_cast<std::uint8_t>(value >> (8 * i));
    }
}

} // namespace

FrameHeader makeFrameHeader(std::size_t payloadBytes, MessageKind kind) noexcept
{
    FrameHeader header{};
    writeNumber(header.data(), static_cast<std::uint32_t>(payloadBytes), 4);
    writeNumber(header.data() + 4, protocolVersion, 2);
    writeNumber(header.data() + 6, static_cast<std::uint32_t>(kind), 2);
    return header;
}

std::span<std::uint8_t> FrameReader::space()
{
    if (m_begin == m_end) {
        m_begin = 0;
        m_end = 0;
        if (m_buffer.size() != initialBufferBytes) {
            m_buffer = std::vector<std::uint8_t>(initialBufferBytes); // gives back the memory of a large frame
        }
    }
    if (m_buffer.size() - m_end < minimumSpaceBytes && m_begin > 0) {
        std::memmove(m_buffer.data(), m_buffer.data() + m_begin, m_end - m_begin);
        m_end -= m_begin;
        m_begin = 0;
    }
    if (m_buffer.size() - m_end < minimumSpaceBytes) {
        m_buffer.resize(m_buffer.size() * 2);
    }
    return {m_buffer.data() + m_end, m_buffer.size() - m_end};
}

void FrameReader::filled(std::size_t count) noexcept
{
    m_end += count;
}

FrameResult FrameReader::next()
{
    if (m_end - m_begin < frameHeaderBytes) {
        return MoreNeeded{};
    }
    const std::uint8_t *header = m_buffer.data() + m_begin;
    const std::size_t length = readNumber(header, 4);
    if (length > m_maximumPayload) {
        return FrameError::TooLarge;
    }
    if (readNumber(header + 4, 2) != protocolVersion) {
        return FrameError::UnsupportedVersion;
    }
    const auto kind = static_cast<std::uint16_t>(readNumber(header + 6, 2));
    if (!isMessageKind(kind)) {
        return FrameError::UnknownKind;
    }
    if (m_end - m_begin - frameHeaderBytes < length) {
        return MoreNeeded{};
    }
    const std::uint8_t *payload = header + frameHeaderBytes;
    m_begin += frameHeaderBytes + length;
    return Frame{static_cast<MessageKind>(kind), {payload, payload + length}};
}

void FrameReader::setMaximumPayload(std::size_t bytes) noexcept
{
    m_maximumPayload = bytes;
}

} // namespace mimosahollow::link
