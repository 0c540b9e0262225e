/// Selects the witnesses of a key by rendezvous hashing, so that entries agree on them without communication. Used by
/// KeyClaimClient.
#pragma once

#include "Decision/Process/Membership.h"

namespace Plantainpier {

/// The `count` highest-ranked sides for the key. Sides that are shutting down are excluded because their claims are
/// soon lost.
std::vector<std::string> chooseWitnesses(
    const Membership& membership, Instant now, const std::string& key, std::size_t count);

/// Number of grants that a claim needs from the given number of witnesses. With four or more, all but one suffice, so
/// that one unresponsive witness does not block the claim. Any two claims of a key still share a witness as long as
/// restarts and differences between views number at most witnesses - 3.
std::size_t requiredGrants(std::size_t witnesses);

} // namespace Plantainpier
