/// Which sides vouch for a key: the first few by rendezvous hash, so that entries agree without talking.
#pragma once

#include "Decision/Process/Membership.h"

namespace Plantainpier {

/// The first `count` present sides for the key. Sides that are leaving are passed over: they forget soon.
std::vector<std::string> chooseWitnesses(
    const Membership& membership, Instant now, const std::string& key, std::size_t count);

} // namespace Plantainpier
