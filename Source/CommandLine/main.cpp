/// Main function of plantainpier, the command-line tool of operators and callers.
#include "CommandLine/Command.h"

#include <iostream>
#include <sodium.h>

int main(int argc, char** argv)
{
    using namespace Plantainpier;
    if (sodium_init() < 0)
        return static_cast<int>(ExitCode::Failed);
    const std::string commandName = argc > 1 ? argv[1] : "";
    const CommandArguments arguments(argv + std::min(argc, 2), argv + argc);
    if (commandName == "--help")
        return static_cast<int>(runHelpCommand({}));
    for (const Command& command : commandTable()) {
        if (command.name == commandName)
            return static_cast<int>(command.run(arguments));
    }
    std::cerr << "plantainpier: " << (commandName.empty() ? "no command given" : "there is no command " + commandName)
              << "; see plantainpier help\n";
    return static_cast<int>(ExitCode::UsageError);
}
