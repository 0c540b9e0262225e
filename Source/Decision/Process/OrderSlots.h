/// Limits the orders to a host that are unanswered at a time. Used by HostAgent.
#pragma once

#include <array>
#include <cstddef>

namespace Plantainpier {

/// Kinds of orders, the most urgent first. A halt may stop work that was cancelled; a pace relieves the tasks that a
/// filler disturbs; a start can wait longest.
enum class HostOrderKind {
    Halt,
    Pace,
    Start,
};

/// Counts the orders in flight. A less urgent kind leaves some slots to the more urgent ones, so that orders which a
/// host leaves unanswered do not delay those.
class OrderSlots {
public:
    OrderSlots(std::size_t maximum, std::size_t reserved)
        : m_limits { maximum, maximum - reserved, maximum - 2 * reserved }
    {
    }

    bool isFree(HostOrderKind kind) const { return m_inFlight < m_limits[static_cast<std::size_t>(kind)]; }
    void take() { ++m_inFlight; }
    void release() { --m_inFlight; }

private:
    /// By kind: an order may be sent while fewer are in flight.
    std::array<std::size_t, 3> m_limits;
    /// Orders to earlier incarnations count too, because they use connections.
    std::size_t m_inFlight = 0;
};

} // namespace Plantainpier
