/// A bounded queue between threads: any number of producers, one consumer. Used by DecisionLoop and Link.
#pragma once

#include "Base/Time.h"

#include <condition_variable>
#include <deque>
#include <limits>
#include <mutex>
#include <optional>
#include <utility>

namespace Plantainpier {

/// push() does not block. It fails if the ring is full, and the producer reports the overload to its caller. Urgent
/// items are popped before all others; the order of each of the two kinds is kept, and each has the whole capacity.
template <typename T> class BoundedRing {
public:
    explicit BoundedRing(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    /// Returns false if the ring is full or closed; the item is then not moved from.
    bool push(T&& item) { return add(m_items, m_capacity, std::move(item)); }

    /// Adds an item beyond the capacity if necessary. Only for items whose number is limited by other means. Returns
    /// false if the ring is closed.
    bool pushBeyondCapacity(T&& item) { return add(m_items, noLimit, std::move(item)); }

    /// Adds an item before all that are not urgent. Returns false if as many urgent items wait as the ring has
    /// capacity, or if the ring is closed; the item is then not moved from.
    bool pushUrgent(T&& item) { return add(m_urgentItems, m_capacity, std::move(item)); }

    /// The same, but beyond the capacity if necessary. Only for items whose number is limited by other means.
    bool pushUrgentBeyondCapacity(T&& item) { return add(m_urgentItems, noLimit, std::move(item)); }

    /// Removes and returns the oldest urgent item, or the oldest item if none is urgent. Returns nothing if no item
    /// arrived within the timeout, or if the ring is closed and empty.
    std::optional<T> pop(Duration timeout)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        m_itemAvailable.wait_for(
            lock, timeout, [this] { return m_closed || !m_urgentItems.empty() || !m_items.empty(); });
        std::deque<T>& items = m_urgentItems.empty() ? m_items : m_urgentItems;
        if (items.empty())
            return std::nullopt;
        std::optional<T> item(std::move(items.front()));
        items.pop_front();
        return item;
    }

    /// Rejects further items; items in the ring can still be popped.
    void close()
    {
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            m_closed = true;
        }
        m_itemAvailable.notify_all();
    }

    std::size_t size() const
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        return m_urgentItems.size() + m_items.size();
    }

    bool isClosed() const
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        return m_closed;
    }

private:
    static constexpr std::size_t noLimit = std::numeric_limits<std::size_t>::max();

    bool add(std::deque<T>& items, std::size_t limit, T&& item)
    {
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            if (m_closed || items.size() >= limit)
                return false;
            items.push_back(std::move(item));
        }
        m_itemAvailable.notify_one();
        return true;
    }

    mutable std::mutex m_mutex;
    std::condition_variable m_itemAvailable;
    const std::size_t m_capacity;
    /// A deque, which grows and shrinks with its content: a preallocated ring buffer would permanently occupy memory in
    /// every small process.
    std::deque<T> m_items;
    std::deque<T> m_urgentItems;
    bool m_closed = false;
};

} // namespace Plantainpier
