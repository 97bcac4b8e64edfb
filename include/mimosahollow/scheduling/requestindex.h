#pragma once

#include "mimosahollow/core/ids.h"

#include <cstdint>
#include <vector>

namespace mimosahollow::scheduling {

/** Open-addressing hash map from request id to record index. Unlike std::unordered_map it allocates only when it grows. */
class RequestIndex
{
public:
    static constexpr std::uint32_t none = 0xffffffffU; // result of find() for unknown ids; also marks empty entries

    void reserve(std::size_t entries);
    [[nodiscard]] std::uint32_t find(const RequestId &id) const noexcept;
    void insert(const RequestId &id, std::uint32_t record);
    void erase(const RequestId &id) noexcept;
    [[nodiscard]] std::size_t size() const noexcept;

private:
    struct Entry
    {
        RequestId id;
        std::uint32_t record = none;
    };

    [[nodiscard]] std::size_t homePosition(const RequestId &id) const noexcept;
    void rehash(std::size_t capacity);

    std::vector<Entry> m_entries; // size is a power of two; at most half of the entries are used
    std::size_t m_size = 0;
};

} // namespace mimosahollow::scheduling
