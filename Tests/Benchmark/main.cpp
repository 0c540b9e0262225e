/// plantainpier-benchmarks [--deterministic] [NAME]: prints one JSON line a figure; exits 1 if one is out of bound.
#include "Benchmark/Figure.h"

#include <csignal>
#include <sodium.h>

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (sodium_init() < 0)
        return 1;
    bool deterministicOnly = false;
    std::string only;
    for (int n = 1; n < argc; ++n) {
        const std::string word = argv[n];
        if (word == "--deterministic")
            deterministicOnly = true;
        else
            only = word;
    }
    bool ok = Plantainpier::runDeterministicBenchmarks(only);
    if (!deterministicOnly)
        ok = Plantainpier::runClockBenchmarks(only) && ok;
    return ok ? 0 : 1;
}
