/// The main function of plantainpierd. The settings file selects the role of the daemon.
#include "Shell/Process/EntryDaemon.h"
#include "Shell/Process/ProcessLog.h"
#include "Shell/Process/SideDaemon.h"

#include <cxxopts.hpp>
#include <iostream>
#include <sodium.h>

namespace {

using namespace Plantainpier;

constexpr int exitUsage = 2;
constexpr int exitSettings = 3;
constexpr int exitFailure = 4;
constexpr std::size_t logQueueLines = 16'384;

template <typename Role> Result<Success> runRole(const Settings& settings)
{
    Result<std::unique_ptr<Role>> daemon = Role::create(settings);
    if (!isOk(daemon))
        return errorOf(daemon);
    return valueOf(daemon)->run();
}

int runDaemon(const std::string& path, bool checkOnly)
{
    const Result<Settings> loaded = loadSettings(path);
    if (!isOk(loaded)) {
        std::cerr << "plantainpierd: " << errorOf(loaded).message << "\n";
        return exitSettings;
    }
    if (checkOnly)
        return 0;
    const Settings& settings = valueOf(loaded);
    blockSignals(false);
    openLog(LogOptions { "plantainpierd", "time=%Y-%m-%dT%H:%M:%S.%f level=%l %v", settings.logLevel, logQueueLines });
    const Result<Success> ended
        = settings.role == Role::Entry ? runRole<EntryDaemon>(settings) : runRole<SideDaemon>(settings);
    if (!isOk(ended))
        std::cerr << "plantainpierd: " << errorOf(ended).message << "\n";
    const int code = isOk(ended) ? 0 : exitFailure;
    closeLog(code);
    return code;
}

int runWithOptions(int argc, char** argv)
{
    if (sodium_init() < 0)
        return exitFailure;
    cxxopts::Options options("plantainpierd", "The plantainpier daemon; its role is set in its settings file.");
    options.add_options()("config", "JSON settings file", cxxopts::value<std::string>())(
        "check", "only check the settings")("help", "show this help");
    try {
        const cxxopts::ParseResult parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        if (parsed.count("config") == 0) {
            std::cerr << "plantainpierd: give a settings file: plantainpierd --config FILE\n";
            return exitUsage;
        }
        return runDaemon(parsed["config"].as<std::string>(), parsed.count("check") > 0);
    } catch (const std::exception& exception) {
        std::cerr << "plantainpierd: " << exception.what() << "; see plantainpierd --help\n";
        return exitUsage;
    }
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return runWithOptions(argc, argv);
    } catch (...) {
        return exitFailure;
    }
}
