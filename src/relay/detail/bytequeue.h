#pragma once

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>

namespace Gypsumtally::Relay::Detail
{

/// Bytes that are appended at the end and taken off at the front. Frees large storage once it is empty. Not
/// thread-safe.
class ByteQueue
{
public:
    std::string_view view() const
    {
        return std::string_view(m_bytes).substr(m_taken);
    }

    std::size_t size() const
    {
        return m_bytes.size() - m_taken;
    }

    bool empty() const
    {
        return size() == 0;
    }

    /// Returns the size of the storage.
    std::size_t capacity() const
    {
        return m_bytes.capacity();
    }

    void append(std::string_view bytes)
    {
        // Moving the rest to the front only once it is the smaller part keeps the cost per byte constant.
        if (m_taken > 0 && m_taken >= size()) {
            m_bytes.erase(0, m_taken);
            m_taken = 0;
        }
        m_bytes.append(bytes);
    }

    /// Takes @p count bytes off. Precondition: there are as many.
    void take(std::size_t count)
    {
        m_taken += count;
        if (empty())
            clear();
    }

    void clear()
    {
        m_taken = 0;
        m_bytes.clear();
        if (m_bytes.capacity() > keptBytes)
            std::string().swap(m_bytes);
    }

private:
    static constexpr std::size_t keptBytes = 4096; ///< Capacity that an empty queue keeps: several ordinary requests.

    std::string m_bytes;
    std::size_t m_taken = 0; ///< Bytes at the front that were taken off.
};

} // namespace Gypsumtally::Relay::Detail
