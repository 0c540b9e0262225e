/// Implements the commands plantainpier bundle check, sign and roll-out.
#include "CommandLine/Command.h"
#include "CommandLine/Passphrase.h"
#include "Decision/Version/BundleRegistry.h"
#include "Shell/Version/KeyFile.h"

#include <chrono>
#include <iostream>
#include <thread>

namespace Plantainpier {

namespace {

    constexpr int callTimeoutMilliseconds = 15'000;
    constexpr std::chrono::seconds rollOutTimeout(10);
    constexpr std::chrono::milliseconds rollOutPollInterval(50);

    /// Reads a bundle's content from a file that holds either the plain content or a signed envelope.
    Result<Json> loadBundleContent(const std::string& path)
    {
        const Result<std::string> text = readFile(path);
        if (!isOk(text))
            return errorOf(text);
        const Result<Json> parsed = parseJsonObject(valueOf(text));
        if (!isOk(parsed))
            return Error { ErrorCode::BundleInvalid, path + ": " + errorOf(parsed).message };
        const Json& json = valueOf(parsed);
        Json content = json.contains("content") ? json["content"] : json;
        const Result<Bundle> bundle = Bundle::parse(content);
        if (!isOk(bundle))
            return Error { errorOf(bundle).code, path + ": " + errorOf(bundle).message };
        return content;
    }

    ExitCode checkBundle(const CommandArguments& arguments)
    {
        if (arguments.size() != 1)
            return printUsageError("plantainpier bundle check", "expected exactly one FILE");
        const Result<Json> content = loadBundleContent(arguments.front());
        if (!isOk(content))
            return printError(errorOf(content), ExitCode::Refused);
        std::cout << arguments.front() << ": valid bundle of version " << valueOf(content)["version"] << "\n";
        return ExitCode::Ok;
    }

    ExitCode signBundle(const CommandArguments& arguments)
    {
        cxxopts::Options options("plantainpier bundle sign", "Sign a bundle and print the signed bundle.");
        options.custom_help("FILE [OPTION...]");
        options.add_options()("key", "key file to sign with", cxxopts::value<std::string>())(
            "passphrase-file", "file whose first line is the passphrase of the key", cxxopts::value<std::string>());
        const ParsedOptions parsed(options, arguments);
        if (!parsed.shouldRunCommand())
            return parsed.exitCode();
        if (parsed.positionalArguments().size() != 1 || !parsed.has("key"))
            return printUsageError("plantainpier bundle sign", "expected exactly one FILE and --key KEYFILE");
        const Result<Json> content = loadBundleContent(parsed.positionalArguments().front());
        if (!isOk(content))
            return printError(errorOf(content), ExitCode::Refused);
        const Result<std::string> passphrase = readPassphrase(parsed.stringValue("passphrase-file"));
        if (!isOk(passphrase))
            return printError(errorOf(passphrase), ExitCode::Failed);
        const Result<SigningKey> key = readKeyFile(parsed.stringValue("key"), valueOf(passphrase));
        if (!isOk(key))
            return printError(errorOf(key), ExitCode::Failed);
        const std::string signature = valueOf(key).sign(canonicalText(valueOf(content)));
        std::cout << makeEnvelope(valueOf(content), valueOf(key).keyId(), signature) << "\n";
        return ExitCode::Ok;
    }

    /// Lists the processes that do not have the version yet: the given entries, and the sides that these entries
    /// report. An entry that does not respond counts as behind.
    std::vector<std::string> findProcessesBehind(const std::vector<std::string>& entries, std::int64_t version)
    {
        std::vector<std::string> behind;
        for (const std::string& entry : entries) {
            const Result<EntryResponse> response = callEntry(entry, "GET", "/v1/status", "", callTimeoutMilliseconds);
            if (!isOk(response) || !valueOf(response).json.is_object()) {
                behind.push_back("entry " + entry + " (no response)");
                continue;
            }
            const Json& status = valueOf(response).json;
            if (status.value("bundle", std::int64_t(0)) < version)
                behind.push_back("entry " + entry);
            for (const Json& side : status.value("sides", Json::array())) {
                if (side.value("present", false) && side.value("bundle", std::int64_t(0)) < version)
                    behind.push_back("side " + side.value("side", "") + " as reported by " + entry);
            }
        }
        return behind;
    }

    /// Polls the entries until all processes have the version or rollOutTimeout has passed.
    ExitCode waitUntilActive(const std::vector<std::string>& entries, std::int64_t version)
    {
        const std::chrono::steady_clock::time_point startTime = std::chrono::steady_clock::now();
        std::vector<std::string> behind = findProcessesBehind(entries, version);
        while (!behind.empty() && std::chrono::steady_clock::now() - startTime < rollOutTimeout) {
            std::this_thread::sleep_for(rollOutPollInterval);
            behind = findProcessesBehind(entries, version);
        }
        const std::chrono::milliseconds elapsed
            = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - startTime);
        if (behind.empty()) {
            std::cout << "active on all processes: version " << version << ", confirmed after " << elapsed.count()
                      << " ms\n";
            return ExitCode::Ok;
        }
        std::string text = "version " + std::to_string(version) + " is not yet active on:";
        for (const std::string& process : behind)
            text += " " + process + ";";
        return printError(Error { ErrorCode::RollOutIncomplete, text }, ExitCode::OutcomeUnknown);
    }

    ExitCode rollOutBundle(const CommandArguments& arguments)
    {
        cxxopts::Options options("plantainpier bundle roll-out", "Activate a signed bundle.");
        options.custom_help("FILE [OPTION...]");
        options.add_options()("wait",
            "wait until every given entry and every side present has the bundle; repeat --entry for each entry");
        const ParsedOptions parsed(options, arguments);
        if (!parsed.shouldRunCommand())
            return parsed.exitCode();
        if (parsed.positionalArguments().size() != 1)
            return printUsageError("plantainpier bundle roll-out", "expected exactly one signed FILE");
        const Result<Json> content = loadBundleContent(parsed.positionalArguments().front());
        if (!isOk(content))
            return printError(errorOf(content), ExitCode::Refused);
        const Result<std::string> text = readFile(parsed.positionalArguments().front());
        const std::string envelope = Json::parse(valueOf(text)).dump();
        const Result<EntryResponse> response
            = callEntry(parsed.stringValue("entry"), "POST", "/v1/bundles", envelope, callTimeoutMilliseconds);
        const ExitCode exitCode = printResponse(response, parsed.has("json"));
        if (exitCode != ExitCode::Ok || !parsed.has("wait"))
            return exitCode;
        std::vector<std::string> entries { parsed.stringValue("entry") };
        if (parsed.has("entry"))
            entries = parsed.result()["entry"].as<std::vector<std::string>>();
        return waitUntilActive(entries, valueOf(content)["version"].get<std::int64_t>());
    }

} // namespace

ExitCode runBundleCommand(const CommandArguments& arguments)
{
    const std::string subcommand = arguments.empty() ? std::string() : arguments.front();
    const CommandArguments subcommandArguments(
        arguments.empty() ? arguments.end() : arguments.begin() + 1, arguments.end());
    if (subcommand == "check")
        return checkBundle(subcommandArguments);
    if (subcommand == "sign")
        return signBundle(subcommandArguments);
    if (subcommand == "roll-out")
        return rollOutBundle(subcommandArguments);
    if (subcommand == "--help")
        return runHelpCommand({ "bundle" });
    return printUsageError("plantainpier bundle", "expected the subcommand check, sign or roll-out");
}

} // namespace Plantainpier
