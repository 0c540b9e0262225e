/// plantainpier-soak: runs the real programs under seeded, injected faults. Exits with 1 if a guarantee was violated.
#include "Soak/Soak.h"

#include <csignal>
#include <cxxopts.hpp>
#include <iostream>

namespace {

using namespace Plantainpier;

int runSeeds(const cxxopts::ParseResult& parsed)
{
    const unsigned first = parsed["seed"].as<unsigned>();
    int failed = 0;
    const int seeds = parsed["seeds"].as<int>();
    for (int n = 0; n < seeds; ++n) {
        SoakOptions options;
        options.seed = first + static_cast<unsigned>(n);
        options.entries = parsed["entries"].as<int>();
        options.hosts = parsed["hosts"].as<int>();
        options.faultDuration = std::chrono::seconds(parsed["seconds"].as<int>());
        options.plannedStopDuration = std::chrono::seconds(parsed["planned-stops"].as<int>());
        options.firstPort = parsed["port"].as<int>();
        options.jobsPerSecond = parsed["rate"].as<int>();
        options.machineFaults = parsed["machine-faults"].as<bool>();
        options.silences = parsed["silences"].as<bool>();
        options.zoneClosures = parsed["zone-closures"].as<bool>();
        options.nodeProgram = parsed["program"].as<std::string>();
        options.folder = parsed["folder"].as<std::string>() + "/seed-" + std::to_string(options.seed);
        Soak soak(options);
        const std::vector<std::string> violations = soak.run();
        std::cout << soak.summary() << "\n";
        for (const std::string& violation : violations)
            std::cout << "  " << violation << "\n";
        std::cout.flush();
        failed += violations.empty() ? 0 : 1;
    }
    std::cout << seeds - failed << " passed, " << failed << " failed\n";
    return failed == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    try {
        cxxopts::Options options("plantainpier-soak", "Runs the real programs under seeded, injected faults.");
        options.add_options()("seed", "first seed", cxxopts::value<unsigned>()->default_value("1"))("seeds",
            "number of seeds to run, one after the other", cxxopts::value<int>()->default_value("1"))("seconds",
            "seconds of fault injection per seed", cxxopts::value<int>()->default_value("12"))("planned-stops",
            "seconds after the faults in which entries are stopped as planned under traffic; 0: none",
            cxxopts::value<int>()->default_value("0"))(
            "entries", "entry processes", cxxopts::value<int>()->default_value("3"))(
            "hosts", "hosts, each with a side process", cxxopts::value<int>()->default_value("4"))(
            "rate", "submitted jobs per second", cxxopts::value<int>()->default_value("4"))("machine-faults",
            "also inject faults that hit a host and its side together, or only some connections of a host",
            cxxopts::value<bool>()->default_value("false"))("silences",
            "also silence all open connections at one moment, now and then",
            cxxopts::value<bool>()->default_value("false"))("zone-closures",
            "also close and reopen availability zones as operators do", cxxopts::value<bool>()->default_value("false"))(
            "port", "first of 900 ports", cxxopts::value<int>()->default_value("21000"))("program",
            "path of plantainpier-node",
            cxxopts::value<std::string>()->default_value(NODE_PROGRAM))("folder", "folder for settings and logs",
            cxxopts::value<std::string>()->default_value("soak-logs"))("help", "show this help");
        const cxxopts::ParseResult parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        return runSeeds(parsed);
    } catch (const std::exception& exception) {
        std::cerr << "plantainpier-soak: " << exception.what() << "; see plantainpier-soak --help\n";
        return 2;
    }
}
