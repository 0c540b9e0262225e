/// plantainpier bundle check, sign and roll-out.
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
    constexpr std::chrono::seconds waitLimit(10);
    constexpr std::chrono::milliseconds waitPoll(50);

    /// A bundle's content from a file of rules or from a signed envelope.
    Result<Json> loadContent(const std::string& path)
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
            return showUsage("plantainpier bundle check", "name one file");
        const Result<Json> content = loadContent(arguments.front());
        if (!isOk(content))
            return showError(errorOf(content), ExitCode::Refused);
        std::cout << arguments.front() << ": valid bundle of version " << valueOf(content)["version"] << "\n";
        return ExitCode::Ok;
    }

    ExitCode signBundle(const CommandArguments& arguments)
    {
        cxxopts::Options options("plantainpier bundle sign", "Sign a bundle; prints the signed bundle.");
        options.custom_help("FILE [OPTION...]");
        options.add_options()("key", "key file", cxxopts::value<std::string>())(
            "passphrase-file", "file whose first line opens the key", cxxopts::value<std::string>());
        const ParsedOptions parsed(options, arguments);
        if (!parsed.isUsable())
            return parsed.exitCode();
        if (parsed.words().size() != 1 || !parsed.has("key"))
            return showUsage("plantainpier bundle sign", "name one file and give --key");
        const Result<Json> content = loadContent(parsed.words().front());
        if (!isOk(content))
            return showError(errorOf(content), ExitCode::Refused);
        const Result<std::string> passphrase = readPassphrase(parsed.text("passphrase-file"));
        if (!isOk(passphrase))
            return showError(errorOf(passphrase), ExitCode::Failed);
        const Result<SigningKey> key = readKeyFile(parsed.text("key"), valueOf(passphrase));
        if (!isOk(key))
            return showError(errorOf(key), ExitCode::Failed);
        const std::string signature = valueOf(key).sign(canonicalText(valueOf(content)));
        std::cout << makeEnvelope(valueOf(content), valueOf(key).keyId(), signature) << "\n";
        return ExitCode::Ok;
    }

    /// Processes that do not have the version yet, as far as the entries know.
    std::vector<std::string> processesBehind(const std::vector<std::string>& entries, std::int64_t version)
    {
        std::vector<std::string> behind;
        for (const std::string& entry : entries) {
            const Result<EntryAnswer> answer = callEntry(entry, "GET", "/v1/status", "", callTimeoutMilliseconds);
            if (!isOk(answer) || !valueOf(answer).json.is_object()) {
                behind.push_back("entry " + entry + " (no answer)");
                continue;
            }
            const Json& status = valueOf(answer).json;
            if (status.value("bundle", std::int64_t(0)) < version)
                behind.push_back("entry " + entry);
            for (const Json& side : status.value("sides", Json::array())) {
                if (side.value("present", false) && side.value("bundle", std::int64_t(0)) < version)
                    behind.push_back("side " + side.value("side", "") + " as seen by " + entry);
            }
        }
        return behind;
    }

    ExitCode awaitInForce(const std::vector<std::string>& entries, std::int64_t version)
    {
        const std::chrono::steady_clock::time_point began = std::chrono::steady_clock::now();
        std::vector<std::string> behind = processesBehind(entries, version);
        while (!behind.empty() && std::chrono::steady_clock::now() - began < waitLimit) {
            std::this_thread::sleep_for(waitPoll);
            behind = processesBehind(entries, version);
        }
        const std::chrono::milliseconds elapsed
            = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - began);
        if (behind.empty()) {
            std::cout << "in force everywhere: version " << version << ", seen after " << elapsed.count() << " ms\n";
            return ExitCode::Ok;
        }
        std::string text = "version " + std::to_string(version) + " is not yet in force at:";
        for (const std::string& process : behind)
            text += " " + process + ";";
        return showError(Error { ErrorCode::RollOutIncomplete, text }, ExitCode::Unknown);
    }

    ExitCode rollOutBundle(const CommandArguments& arguments)
    {
        cxxopts::Options options("plantainpier bundle roll-out", "Put a signed bundle in force.");
        options.custom_help("FILE [OPTION...]");
        options.add_options()("wait", "return when every process that answers has it; give every --entry");
        const ParsedOptions parsed(options, arguments);
        if (!parsed.isUsable())
            return parsed.exitCode();
        if (parsed.words().size() != 1)
            return showUsage("plantainpier bundle roll-out", "name one signed file");
        const Result<Json> content = loadContent(parsed.words().front());
        if (!isOk(content))
            return showError(errorOf(content), ExitCode::Refused);
        const Result<std::string> text = readFile(parsed.words().front());
        const std::string envelope = Json::parse(valueOf(text)).dump();
        const Result<EntryAnswer> answer
            = callEntry(parsed.text("entry"), "POST", "/v1/bundles", envelope, callTimeoutMilliseconds);
        const ExitCode code = showAnswer(answer, parsed.has("json"));
        if (code != ExitCode::Ok || !parsed.has("wait"))
            return code;
        std::vector<std::string> entries { parsed.text("entry") };
        if (parsed.has("entry"))
            entries = parsed.values()["entry"].as<std::vector<std::string>>();
        return awaitInForce(entries, valueOf(content)["version"].get<std::int64_t>());
    }

} // namespace

ExitCode runBundleCommand(const CommandArguments& arguments)
{
    const std::string verb = arguments.empty() ? std::string() : arguments.front();
    const CommandArguments rest(arguments.empty() ? arguments.end() : arguments.begin() + 1, arguments.end());
    if (verb == "check")
        return checkBundle(rest);
    if (verb == "sign")
        return signBundle(rest);
    if (verb == "roll-out")
        return rollOutBundle(rest);
    if (verb == "--help")
        return runHelpCommand({ "bundle" });
    return showUsage("plantainpier bundle", "say check, sign or roll-out");
}

} // namespace Plantainpier
