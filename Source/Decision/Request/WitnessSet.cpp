#include "Decision/Request/WitnessSet.h"

#include <algorithm>
#include <xxhash.h>

namespace Plantainpier {

namespace {

    /// With fewer witnesses all of them must grant a claim: two claims of a key must meet at a witness even if a view
    /// is outdated.
    constexpr std::size_t minimumWitnessesForOneSpare = 4;

} // namespace

std::size_t requiredGrants(std::size_t witnesses)
{
    return witnesses >= minimumWitnessesForOneSpare ? witnesses - 1 : witnesses;
}

std::vector<std::string> chooseWitnesses(
    const Membership& membership, Instant now, const std::string& key, std::size_t count)
{
    using Ranked = std::pair<XXH64_hash_t, std::string>;
    std::vector<Ranked> ranked;
    const XXH64_hash_t seed = XXH64(key.data(), key.size(), 0);
    for (const std::pair<const std::string, SideView>& entry : membership.sides()) {
        if (membership.isWitnessCandidate(entry.second, now))
            ranked.emplace_back(XXH64(entry.first.data(), entry.first.size(), seed), entry.first);
    }
    const std::size_t selected = std::min(count, ranked.size());
    std::partial_sort(
        ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(selected), ranked.end(), std::greater<Ranked>());
    std::vector<std::string> witnesses;
    for (std::size_t n = 0; n < selected; ++n)
        witnesses.push_back(ranked[n].second);
    return witnesses;
}

} // namespace Plantainpier
