#pragma once

#include <compare>
#include <cstddef>
#include <initializer_list>
#include <iterator>
#include <memory>
#include <utility>
#include <vector>

namespace mimosahollow::control {

/**
 * A list with copy-on-write chunks: copies of the list share their chunks, and changing an element copies only its chunk.
 *
 * A new configuration with one changed adapter therefore costs a few kilobytes instead of a second copy of all adapters.
 */
template<typename T>
class ChunkedList
{
public:
    /** Elements per chunk. 256 adapters take about 40 KB, and the chunk table of 93,000 adapters about 6 KB. */
    static constexpr std::size_t chunkSize = 256;

    class const_iterator // NOLINT(readability-identifier-naming): name expected by the standard library
    {
    public:
        using iterator_category = std::random_access_iterator_tag;
        using value_type = T;
        using difference_type = std::ptrdiff_t;
        using pointer = const T *;
        using reference = const T &;

        const_iterator() = default;
        const_iterator(const ChunkedList *list, std::size_t index) : m_list(list), m_index(index)
        {
        }

        reference operator*() const
        {
            return (*m_list)[m_index];
        }
        pointer operator->() const
        {
            return &(*m_list)[m_index];
        }
        reference operator[](difference_type offset) const
        {
            return (*m_list)[m_index + static_cast<std::size_t>(offset)];
        }
        const_iterator &operator++()
        {
            ++m_index;
            return *this;
        }
        const_iterator operator++(int)
        {
            const const_iterator before = *this;
            ++m_index;
            return before;
        }
        const_iterator &operator--()
        {
            --m_index;
            return *this;
        }
        const_iterator operator--(int)
        {
            const const_iterator before = *this;
            --m_index;
            return before;
        }
        const_iterator &operator+=(difference_type offset)
        {
            m_index += static_cast<std::size_t>(offset);
            return *this;
        }
        const_iterator &operator-=(difference_type offset)
        {
            m_index -= static_cast<std::size_t>(offset);
            return *this;
        }
        friend const_iterator operator+(const_iterator iterator, difference_type offset)
        {
            return iterator += offset;
        }
        friend const_iterator operator-(const_iterator iterator, difference_type offset)
        {
            return iterator -= offset;
        }
        friend difference_type operator-(const const_iterator &left, const const_iterator &right)
        {
            return static_cast<difference_type>(left.m_index) - static_cast<difference_type>(right.m_index);
        }
        friend bool operator==(const const_iterator &left, const const_iterator &right)
        {
            return left.m_index == right.m_index;
        }
        friend auto operator<=>(const const_iterator &left, const const_iterator &right)
        {
            return left.m_index <=> right.m_index;
        }

    private:
        const ChunkedList *m_list = nullptr;
        std::size_t m_index = 0;
    };

    ChunkedList() = default;
    ChunkedList(std::initializer_list<T> elements)
    {
        for (const T &element : elements) {
            push_back(element);
        }
    }

    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_size;
    }
    [[nodiscard]] bool empty() const noexcept
    {
        return m_size == 0;
    }
    [[nodiscard]] const T &operator[](std::size_t index) const
    {
        const std::size_t chunk = index / chunkSize;
        return chunk < m_chunks.size() ? (*m_chunks[chunk])[index % chunkSize] : m_tail[index % chunkSize];
    }
    [[nodiscard]] const T &back() const
    {
        return (*this)[m_size - 1];
    }
    [[nodiscard]] const_iterator begin() const
    {
        return const_iterator(this, 0);
    }
    [[nodiscard]] const_iterator end() const
    {
        return const_iterator(this, m_size);
    }

    void push_back(T element) // NOLINT(readability-identifier-naming): name expected by the standard library
    {
        m_tail.push_back(std::move(element));
        ++m_size;
        if (m_tail.size() == chunkSize) {
            m_chunks.push_back(std::make_shared<const Chunk>(std::move(m_tail)));
            m_tail = Chunk();
        }
    }

    /** Mutable access to the element at @p index. Copies its chunk first when the chunk is full, because full chunks may be shared. */
    [[nodiscard]] T &mutableAt(std::size_t index)
    {
        const std::size_t chunk = index / chunkSize;
        if (chunk >= m_chunks.size()) {
            return m_tail[index % chunkSize];
        }
        auto copy = std::make_shared<Chunk>(*m_chunks[chunk]);
        T &element = (*copy)[index % chunkSize];
        m_chunks[chunk] = std::move(copy);
        return element;
    }

    void clear()
    {
        m_chunks.clear();
        m_tail.clear();
        m_size = 0;
    }

private:
    using Chunk = std::vector<T>;

    std::vector<std::shared_ptr<const Chunk>> m_chunks; /**< Full chunks; immutable, so that threads can share them. */
    Chunk m_tail; /**< Elements after the last full chunk. */
    std::size_t m_size = 0;
};

} // namespace mimosahollow::control
