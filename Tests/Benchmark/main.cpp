/// plantainpier-benchmarks [--deterministic] [NAME]: prints one JSON line per figure; exits with 1 if one is out of
/// bound.
#include "Benchmark/Figure.h"

#include <csignal>
#include <sodium.h>

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (sodium_init() < 0)
        return 1;
    bool deterministicOnly = false;
    std::string selectedFigure;
    for (int n = 1; n < argc; ++n) {
        const std::string argument = argv[n];
        if (argument == "--deterministic")
            deterministicOnly = true;
        else
            selectedFigure = argument;
    }
    bool ok = Plantainpier::runDeterministicBenchmarks(selectedFigure);
    if (!deterministicOnly)
        ok = Plantainpier::runClockBenchmarks(selectedFigure) && ok;
    return ok ? 0 : 1;
}
