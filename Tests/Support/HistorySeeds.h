/// The seeds of random histories. Used by the tests that play random histories.
#pragma once

#include <cstddef>
#include <cstdlib>
#include <string>

namespace Plantainpier {

struct HistorySeeds {
    unsigned first = 1;
    unsigned last = 1;

    std::size_t count() const { return last - first + 1; }
};

/// Returns the seeds from 1 to defaultHistories. The environment variable PLANTAINPIER_HISTORIES changes the number of
/// histories; PLANTAINPIER_SEED selects a single seed.
inline HistorySeeds historySeeds(unsigned defaultHistories)
{
    const char* historiesSetting = std::getenv("PLANTAINPIER_HISTORIES");
    const char* seedSetting = std::getenv("PLANTAINPIER_SEED");
    if (seedSetting) {
        const unsigned seed = static_cast<unsigned>(std::stoul(seedSetting));
        return HistorySeeds { seed, seed };
    }
    return HistorySeeds { 1,
        historiesSetting ? static_cast<unsigned>(std::stoul(historiesSetting)) : defaultHistories };
}

} // namespace Plantainpier
