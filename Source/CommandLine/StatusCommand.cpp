/// Implements the command plantainpier status.
#include "CommandLine/Command.h"

#include <iostream>

namespace Plantainpier {

namespace {

    constexpr int callTimeoutMilliseconds = 5000;

    void printSides(const Json& sides)
    {
        for (const Json& side : sides) {
            std::cout << "side " << side.value("side", "") << " zone=" << side.value("zone", "")
                      << " present=" << side.value("present", false) << " link_up=" << side.value("link_up", false)
                      << " target=" << side.value("target", false) << " leaving=" << side.value("leaving", false)
                      << " bundle=" << side.value("bundle", 0) << " in_flight=" << side.value("in_flight", 0)
                      << " queued=" << side.value("queued", 0) << "\n";
        }
    }

} // namespace

ExitCode runStatusCommand(const CommandArguments& arguments)
{
    cxxopts::Options options("plantainpier status", "Show the state of the system as one entry reports it.");
    const ParsedOptions parsed(options, arguments);
    if (!parsed.shouldRunCommand())
        return parsed.exitCode();
    Result<EntryResponse> response
        = callEntry(parsed.stringValue("entry"), "GET", "/v1/status", "", callTimeoutMilliseconds);
    if (!isOk(response) || parsed.has("json") || !valueOf(response).json.is_object())
        return printResponse(response, parsed.has("json"));
    EntryResponse systemStatus = takeValue(std::move(response));
    const Json sides = systemStatus.json.value("sides", Json::array());
    systemStatus.json.erase("sides");
    const ExitCode exitCode = printResponse(Result<EntryResponse>(systemStatus), false);
    printSides(sides);
    return exitCode;
}

} // namespace Plantainpier
