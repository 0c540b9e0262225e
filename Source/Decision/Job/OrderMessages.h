/// Divides the orders for a host into messages. Used by JobOwner.
#pragma once

#include "Wire/Generated/plantainpier_types.h"

#include <vector>

namespace Plantainpier::OrderMessages {

/// A message takes no further orders from this size on. Far below the limit of a link's frame, and small enough for
/// heartbeats, which are sent between two messages, to pass on a slow link in time.
constexpr std::size_t maximumBytes = 256 << 10;

/// Returns messages that together hold the same orders: halts first, then paces, then starts. Each has the lease and
/// all other fields.
std::vector<Wire::HostOrders> divide(Wire::HostOrders orders);

} // namespace Plantainpier::OrderMessages
