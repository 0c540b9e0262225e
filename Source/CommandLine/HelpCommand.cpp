/// Implements the command plantainpier help.
#include "CommandLine/Command.h"
#include "CommandLine/HelpPages.h"

#include <iostream>

namespace Plantainpier {

namespace {

    void printOverview()
    {
        std::cout << "Usage: plantainpier COMMAND [OPTION...]\n\nCommands:\n";
        for (const Command& command : commandTable())
            std::cout << "  " << command.name << std::string(10 - command.name.size(), ' ') << command.summary << "\n";
        std::string kind;
        for (const HelpPage& page : helpPages()) {
            if (page.kind != kind)
                std::cout << "\nHelp pages of kind " << page.kind << " (plantainpier help NAME):\n ";
            kind = page.kind;
            std::cout << " " << page.name;
        }
        std::cout << "\n";
    }

} // namespace

ExitCode runHelpCommand(const CommandArguments& arguments)
{
    if (arguments.empty() || arguments.front() == "--help") {
        printOverview();
        return ExitCode::Ok;
    }
    bool found = false;
    for (const HelpPage& page : helpPages()) {
        if (page.name != arguments.front())
            continue;
        std::cout << page.text;
        found = true;
    }
    if (found)
        return ExitCode::Ok;
    return printUsageError("plantainpier help", "there is no help page named " + arguments.front());
}

} // namespace Plantainpier
