#include "mimosahollow/scheduling/requestindex.h"

#include <algorithm>
#include <bit>

namespace mimosahollow::scheduling {

namespace {

constexpr std::size_t smallestCapacity = 16;

} // namespace

std::size_t RequestIndex::homePosition(const RequestId &id) const noexcept
{
    // Sequence numbers are consecutive: the multiplication spreads them, and the shift mixes the high half into the low bits.
    const std::uint64_t mixed = (id.process ^ id.sequence) * 0x9E3779B97F4A7C15ULL;
    return static_cast<std::size_t>(mixed ^ (mixed >> 32U)) & (m_entries.size() - 1);
}

void RequestIndex::reserve(std::size_t entries)
{
    const std::size_t capacity = std::bit_ceil(std::max(smallestCapacity, entries * 2));
    if (capacity > m_entries.size()) {
        rehash(capacity);
    }
}

std::uint32_t RequestIndex::find(const RequestId &id) const noexcept
{
    if (m_entries.empty()) {
        return none;
    }
    for (std::size_t i = homePosition(id); m_entries[i].record != none; i = (i + 1) & (m_entries.size() - 1)) {
        if (m_entries[i].id == id) {
            return m_entries[i].record;
        }
    }
    return none;
}

void RequestIndex::insert(const RequestId &id, std::uint32_t record)
{
    reserve(m_size + 1);
    std::size_t i = homePosition(id);
    while (m_entries[i].record != none) {
        i = (i + 1) & (m_entries.size() - 1);
    }
    m_entries[i] = {id, record};
    ++m_size;
}

void RequestIndex::erase(const RequestId &id) noexcept
{
    if (m_entries.empty()) {
        return;
    }
    const std::size_t mask = m_entries.size() - 1;
    std::size_t hole = homePosition(id);
    while (m_entries[hole].record != none && m_entries[hole].id != id) {
        hole = (hole + 1) & mask;
    }
    if (m_entries[hole].record == none) {
        return;
    }
    // Backward-shift deletion: moves later entries of the same probe run back, so that no search ends early at the hole.
    for (std::size_t i = (hole + 1) & mask; m_entries[i].record != none; i = (i + 1) & mask) {
        const std::size_t distance = (i - homePosition(m_entries[i].id)) & mask;
        if (distance >= ((i - hole) & mask)) {
            m_entries[hole] = m_entries[i];
            hole = i;
        }
    }
    m_entries[hole].record = none;
    --m_size;
}

std::size_t RequestIndex::size() const noexcept
{
    return m_size;
}

void RequestIndex::rehash(std::size_t capacity)
{
    std::vector<Entry> old(capacity);
    old.swap(m_entries);
    m_size = 0;
    for (const Entry &entry : old) {
        if (entry.record != none) {
            std::size_t i = homePosition(entry.id);
            while (m_entries[i].record != none) {
                i = (i + 1) & (m_entries.size() - 1);
            }
            m_entries[i] = entry;
            ++m_size;
        }
    }
}

} // namespace mimosahollow::scheduling
