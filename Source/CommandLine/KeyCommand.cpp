/// Implements the commands plantainpier key new, key show and config check.
#include "CommandLine/Command.h"
#include "CommandLine/Passphrase.h"
#include "Shell/Process/Settings.h"
#include "Shell/Version/KeyFile.h"

#include <iostream>

namespace Plantainpier {

namespace {

    void printKey(const std::string& publicKey, bool asJson)
    {
        const std::string id = valueOf(keyIdOfPublicKey(publicKey));
        if (asJson)
            std::cout << Json { { "key_id", id }, { "public", publicKey } }.dump() << "\n";
        else
            std::cout << "key_id: " << id << "\npublic: " << publicKey << "\n";
    }

    ExitCode createKey(const CommandArguments& arguments)
    {
        cxxopts::Options options(
            "plantainpier key new", "Create a signing key in a file that only its owner can read.");
        options.custom_help("FILE [OPTION...]");
        options.add_options()("passphrase-file", "file whose first line is the passphrase that encrypts the key",
            cxxopts::value<std::string>());
        const ParsedOptions parsed(options, arguments);
        if (!parsed.shouldRunCommand())
            return parsed.exitCode();
        if (parsed.positionalArguments().size() != 1)
            return printUsageError("plantainpier key new", "expected exactly one FILE");
        const Result<std::string> passphrase = readPassphrase(parsed.stringValue("passphrase-file"));
        if (!isOk(passphrase))
            return printError(errorOf(passphrase), ExitCode::Failed);
        const Result<SigningKey> key = SigningKey::generate();
        if (!isOk(key))
            return printError(errorOf(key), ExitCode::Failed);
        const Result<Success> written
            = writeKeyFile(parsed.positionalArguments().front(), valueOf(key), valueOf(passphrase));
        if (!isOk(written))
            return printError(errorOf(written), ExitCode::Failed);
        printKey(valueOf(key).publicHex(), parsed.has("json"));
        return ExitCode::Ok;
    }

    ExitCode showKey(const CommandArguments& arguments)
    {
        cxxopts::Options options("plantainpier key show", "Show the key id and the public key of a key file.");
        options.custom_help("FILE [OPTION...]");
        const ParsedOptions parsed(options, arguments);
        if (!parsed.shouldRunCommand())
            return parsed.exitCode();
        if (parsed.positionalArguments().size() != 1)
            return printUsageError("plantainpier key show", "expected exactly one FILE");
        const Result<std::string> key = readPublicKey(parsed.positionalArguments().front());
        if (!isOk(key))
            return printError(errorOf(key), ExitCode::Failed);
        if (!isOk(keyIdOfPublicKey(valueOf(key))))
            return printError(errorOf(keyIdOfPublicKey(valueOf(key))), ExitCode::Failed);
        printKey(valueOf(key), parsed.has("json"));
        return ExitCode::Ok;
    }

} // namespace

ExitCode runKeyCommand(const CommandArguments& arguments)
{
    const std::string subcommand = arguments.empty() ? std::string() : arguments.front();
    const CommandArguments subcommandArguments(
        arguments.empty() ? arguments.end() : arguments.begin() + 1, arguments.end());
    if (subcommand == "new")
        return createKey(subcommandArguments);
    if (subcommand == "show")
        return showKey(subcommandArguments);
    if (subcommand == "--help")
        return runHelpCommand({ "key" });
    return printUsageError("plantainpier key", "expected the subcommand new or show");
}

ExitCode runConfigCommand(const CommandArguments& arguments)
{
    if (!arguments.empty() && arguments.front() == "--help")
        return runHelpCommand({ "config" });
    if (arguments.size() != 2 || arguments.front() != "check")
        return printUsageError("plantainpier config", "expected the subcommand check and exactly one FILE");
    const Result<Settings> settings = loadSettings(arguments[1]);
    if (!isOk(settings))
        return printError(errorOf(settings), ExitCode::Refused);
    std::cout << arguments[1] << ": valid settings of role " << name(valueOf(settings).role) << "\n";
    return ExitCode::Ok;
}

} // namespace Plantainpier
