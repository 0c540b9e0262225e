#include "Decision/Job/OrderMessages.h"

namespace Plantainpier::OrderMessages {

namespace {

    /// Upper bound of the encoded size of the numbers of an order.
    constexpr std::size_t fixedBytes = 64;

    std::size_t encodedBytes(const Wire::StartOrder& order)
    {
        return fixedBytes + order.task.jobId.size() + order.payload.size() + order.checkpoint.size()
            + order.ticket.size();
    }
    std::size_t encodedBytes(const Wire::HaltOrder& order) { return fixedBytes + order.task.jobId.size(); }
    std::size_t encodedBytes(const Wire::PaceOrder& order) { return fixedBytes + order.task.jobId.size(); }

    /// Adds orders of one kind to the newest message, and to new ones made from the template once that is full.
    template <typename Order>
    void addOrders(std::vector<Order>& orders, std::vector<Order> Wire::HostOrders::*kind,
        const Wire::HostOrders& emptyMessage, std::size_t& bytes, std::vector<Wire::HostOrders>& messages)
    {
        for (Order& order : orders) {
            if (bytes >= maximumBytes) {
                messages.push_back(emptyMessage);
                bytes = 0;
            }
            bytes += encodedBytes(order);
            (messages.back().*kind).push_back(std::move(order));
        }
    }

} // namespace

std::vector<Wire::HostOrders> divide(Wire::HostOrders orders)
{
    std::vector<Wire::HaltOrder> halts = std::move(orders.halts);
    std::vector<Wire::PaceOrder> paces = std::move(orders.paces);
    std::vector<Wire::StartOrder> starts = std::move(orders.starts);
    orders.halts.clear();
    orders.paces.clear();
    orders.starts.clear();
    std::vector<Wire::HostOrders> messages { orders };
    std::size_t bytes = 0;
    addOrders(halts, &Wire::HostOrders::halts, orders, bytes, messages);
    addOrders(paces, &Wire::HostOrders::paces, orders, bytes, messages);
    addOrders(starts, &Wire::HostOrders::starts, orders, bytes, messages);
    return messages;
}

} // namespace Plantainpier::OrderMessages
