/// The bounded ring that joins two threads: many may push, one pops.
#pragma once

#include "Base/Time.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

namespace Plantainpier {

/// A bounded queue between threads. push() never waits: a full ring refuses, and the pusher says so to its caller.
template <typename T> class BoundedRing {
public:
    explicit BoundedRing(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    /// False when the ring is full or closed; the item is then untouched.
    bool push(T&& item)
    {
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            if (m_closed || m_items.size() >= m_capacity)
                return false;
            m_items.push_back(std::move(item));
        }
        m_filled.notify_one();
        return true;
    }

    /// The oldest item; nothing when none came within the wait or the ring is closed and empty.
    std::optional<T> pop(Duration wait)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        m_filled.wait_for(lock, wait, [this] { return m_closed || !m_items.empty(); });
        if (m_items.empty())
            return std::nullopt;
        std::optional<T> item(std::move(m_items.front()));
        m_items.pop_front();
        return item;
    }

    /// Refuses further items; what is inside can still be popped.
    void close()
    {
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            m_closed = true;
        }
        m_filled.notify_all();
    }

    bool isClosed() const
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        return m_closed;
    }

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_filled;
    const std::size_t m_capacity;
    /// Grows and shrinks with what waits: a preallocated ring would stay resident in every small process.
    std::deque<T> m_items;
    bool m_closed = false;
};

} // namespace Plantainpier
