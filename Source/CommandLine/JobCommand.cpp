/// plantainpier job submit, show and cancel.
#include "CommandLine/Command.h"

namespace Plantainpier {

namespace {

    constexpr int callTimeoutMilliseconds = 15'000;

    ExitCode submitJob(const CommandArguments& arguments)
    {
        cxxopts::Options options("plantainpier job submit", "Hand in a batch job; returns once it is accepted.");
        options.custom_help("JOB [OPTION...]");
        options.add_options()("team", "team that owns it", cxxopts::value<std::string>())(
            "priority", "0 (most urgent) to 9", cxxopts::value<int>()->default_value("5"))(
            "milli-processors", "thousandths of a processor", cxxopts::value<std::int64_t>()->default_value("1000"))(
            "memory-mb", "memory in MB", cxxopts::value<std::int64_t>()->default_value("256"))(
            "accelerators", "whole accelerators", cxxopts::value<int>()->default_value("0"))(
            "payload", "what the worker gets", cxxopts::value<std::string>());
        const ParsedOptions parsed(options, arguments);
        if (!parsed.isUsable())
            return parsed.exitCode();
        if (parsed.words().size() != 1 || !parsed.has("team"))
            return showUsage("plantainpier job submit", "give one job id and --team");
        const Json body { { "job", parsed.words().front() }, { "team", parsed.text("team") },
            { "priority", parsed.values()["priority"].as<int>() },
            { "milli_processors", parsed.values()["milli-processors"].as<std::int64_t>() },
            { "memory_mb", parsed.values()["memory-mb"].as<std::int64_t>() },
            { "accelerators", parsed.values()["accelerators"].as<int>() }, { "payload", parsed.text("payload") } };
        return showAnswer(callEntry(parsed.text("entry"), "POST", "/v1/jobs", body.dump(), callTimeoutMilliseconds),
            parsed.has("json"));
    }

    ExitCode callNamedJob(const std::string& verb, const std::string& method, const CommandArguments& arguments)
    {
        cxxopts::Options options("plantainpier job " + verb, "Acts on the job with this id.");
        options.custom_help("JOB [OPTION...]");
        const ParsedOptions parsed(options, arguments);
        if (!parsed.isUsable())
            return parsed.exitCode();
        if (parsed.words().size() != 1)
            return showUsage("plantainpier job " + verb, "give one job id");
        return showAnswer(callEntry(parsed.text("entry"), method, "/v1/jobs/" + escapePath(parsed.words().front()), "",
                              callTimeoutMilliseconds),
            parsed.has("json"));
    }

} // namespace

ExitCode runJobCommand(const CommandArguments& arguments)
{
    const std::string verb = arguments.empty() ? std::string() : arguments.front();
    const CommandArguments rest(arguments.empty() ? arguments.end() : arguments.begin() + 1, arguments.end());
    if (verb == "submit")
        return submitJob(rest);
    if (verb == "show")
        return callNamedJob(verb, "GET", rest);
    if (verb == "cancel")
        return callNamedJob(verb, "DELETE", rest);
    if (verb == "--help")
        return runHelpCommand({ "job" });
    return showUsage("plantainpier job", "say submit, show or cancel");
}

} // namespace Plantainpier
