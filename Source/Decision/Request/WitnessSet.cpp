#include "Decision/Request/WitnessSet.h"

#include <algorithm>
#include <xxhash.h>

namespace Plantainpier {

namespace {

    /// With fewer witnesses each of them is needed: two claims must meet even when a view is not up to date.
    constexpr std::size_t fewestWithOneToSpare = 4;

} // namespace

std::size_t neededGrants(std::size_t witnesses)
{
    return witnesses >= fewestWithOneToSpare ? witnesses - 1 : witnesses;
}

std::vector<std::string> chooseWitnesses(
    const Membership& membership, Instant now, const std::string& key, std::size_t count)
{
    using Ranked = std::pair<XXH64_hash_t, std::string>;
    std::vector<Ranked> ranked;
    const XXH64_hash_t seed = XXH64(key.data(), key.size(), 0);
    for (const std::pair<const std::string, SideView>& entry : membership.sides()) {
        if (membership.isWitness(entry.second, now))
            ranked.emplace_back(XXH64(entry.first.data(), entry.first.size(), seed), entry.first);
    }
    const std::size_t taken = std::min(count, ranked.size());
    std::partial_sort(
        ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(taken), ranked.end(), std::greater<Ranked>());
    std::vector<std::string> witnesses;
    for (std::size_t n = 0; n < taken; ++n)
        witnesses.push_back(ranked[n].second);
    return witnesses;
}

} // namespace Plantainpier
