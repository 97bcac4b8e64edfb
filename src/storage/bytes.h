#pragma once

#include "mimosahollow/control/logentry.h"

#include <cstdint>
#include <cstring>
#include <span>
#include <string>

namespace mimosahollow::storage {

static_assert(__BYTE_ORDER__ == __ORDER_LITTLE_ENDIAN__, "the file formats are little-endian and written without conversion");

/** Appends fixed-size numbers and byte strings to a buffer. */
struct ByteWriter
{
    control::Bytes &out;

    template<typename Number>
    void number(Number value)
    {
        const auto *bytes = reinterpret_cast<const std::uint8_t *>(&value);
        out.insert(out.end(), bytes, bytes + sizeof(value));
    }

    void bytes(std::span<const std::uint8_t> data)
    {
        out.insert(out.end(), data.begin(), data.end());
    }
};

/** Reads what ByteWriter wrote. After a read beyond the end, @c failed is set and all further reads give zero. */
struct ByteReader
{
    std::span<const std::uint8_t> rest;
    bool failed = false;

    template<typename Number>
    Number number()
    {
        Number value{};
        const auto data = bytes(sizeof(value));
        if (!failed) {
            std::memcpy(&value, data.data(), sizeof(value));
        }
        return value;
    }

    std::span<const std::uint8_t> bytes(std::size_t size)
    {
        if (failed || size > rest.size()) {
            failed = true;
            return {};
        }
        const auto data = rest.first(size);
        rest = rest.subspan(size);
        return data;
    }
};

void writeMembers(ByteWriter &writer, const control::Membership &members);
[[nodiscard]] control::Membership readMembers(ByteReader &reader);

} // namespace mimosahollow::storage
