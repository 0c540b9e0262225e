/// plantainpier key new and key show; plantainpier config check.
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

    ExitCode makeKey(const CommandArguments& arguments)
    {
        cxxopts::Options options("plantainpier key new", "Make a signing key; only its owner can read the file.");
        options.custom_help("FILE [OPTION...]");
        options.add_options()("passphrase-file", "file whose first line seals the key", cxxopts::value<std::string>());
        const ParsedOptions parsed(options, arguments);
        if (!parsed.isUsable())
            return parsed.exitCode();
        if (parsed.words().size() != 1)
            return showUsage("plantainpier key new", "name one file");
        const Result<std::string> passphrase = readPassphrase(parsed.text("passphrase-file"));
        if (!isOk(passphrase))
            return showError(errorOf(passphrase), ExitCode::Failed);
        const Result<SigningKey> key = SigningKey::generate();
        if (!isOk(key))
            return showError(errorOf(key), ExitCode::Failed);
        const Result<Success> written = writeKeyFile(parsed.words().front(), valueOf(key), valueOf(passphrase));
        if (!isOk(written))
            return showError(errorOf(written), ExitCode::Failed);
        printKey(valueOf(key).publicHex(), parsed.has("json"));
        return ExitCode::Ok;
    }

    ExitCode showKey(const CommandArguments& arguments)
    {
        cxxopts::Options options("plantainpier key show", "Show the public half of a key file.");
        options.custom_help("FILE [OPTION...]");
        const ParsedOptions parsed(options, arguments);
        if (!parsed.isUsable())
            return parsed.exitCode();
        if (parsed.words().size() != 1)
            return showUsage("plantainpier key show", "name one file");
        const Result<std::string> key = readPublicKey(parsed.words().front());
        if (!isOk(key))
            return showError(errorOf(key), ExitCode::Failed);
        if (!isOk(keyIdOfPublicKey(valueOf(key))))
            return showError(errorOf(keyIdOfPublicKey(valueOf(key))), ExitCode::Failed);
        printKey(valueOf(key), parsed.has("json"));
        return ExitCode::Ok;
    }

} // namespace

ExitCode runKeyCommand(const CommandArguments& arguments)
{
    const std::string verb = arguments.empty() ? std::string() : arguments.front();
    const CommandArguments rest(arguments.empty() ? arguments.end() : arguments.begin() + 1, arguments.end());
    if (verb == "new")
        return makeKey(rest);
    if (verb == "show")
        return showKey(rest);
    if (verb == "--help")
        return runHelpCommand({ "key" });
    return showUsage("plantainpier key", "say new or show");
}

ExitCode runConfigCommand(const CommandArguments& arguments)
{
    if (!arguments.empty() && arguments.front() == "--help")
        return runHelpCommand({ "config" });
    if (arguments.size() != 2 || arguments.front() != "check")
        return showUsage("plantainpier config", "say config check FILE");
    const Result<Settings> settings = loadSettings(arguments[1]);
    if (!isOk(settings))
        return showError(errorOf(settings), ExitCode::Refused);
    std::cout << arguments[1] << ": valid settings of role " << name(valueOf(settings).role) << "\n";
    return ExitCode::Ok;
}

} // namespace Plantainpier
