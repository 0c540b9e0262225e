/// Which sides vouch for a key: the first few by rendezvous hash, so that entries agree without talking.
#pragma once

#include "Decision/Process/Membership.h"

namespace Plantainpier {

/// The first `count` witnesses for the key. Sides that are leaving are passed over: they forget soon.
std::vector<std::string> chooseWitnesses(
    const Membership& membership, Instant now, const std::string& key, std::size_t count);

/// Grants that a claim needs out of so many witnesses: all but one, so that one that does not answer holds nothing up,
/// and any two claims of a key still meet at one while restarts and differences between views are at most count - 3.
std::size_t neededGrants(std::size_t witnesses);

} // namespace Plantainpier
