/// plantainpier status.
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
    cxxopts::Options options("plantainpier status", "Show what an entry knows of the system.");
    const ParsedOptions parsed(options, arguments);
    if (!parsed.isUsable())
        return parsed.exitCode();
    Result<EntryAnswer> answer = callEntry(parsed.text("entry"), "GET", "/v1/status", "", callTimeoutMilliseconds);
    if (!isOk(answer) || parsed.has("json") || !valueOf(answer).json.is_object())
        return showAnswer(answer, parsed.has("json"));
    EntryAnswer shown = takeValue(std::move(answer));
    const Json sides = shown.json.value("sides", Json::array());
    shown.json.erase("sides");
    const ExitCode code = showAnswer(Result<EntryAnswer>(shown), false);
    printSides(sides);
    return code;
}

} // namespace Plantainpier
