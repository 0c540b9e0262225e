/// Implements the commands plantainpier job submit, show and cancel.
#include "CommandLine/Command.h"

namespace Plantainpier {

namespace {

    constexpr int callTimeoutMilliseconds = 15'000;

    ExitCode submitJob(const CommandArguments& arguments)
    {
        cxxopts::Options options("plantainpier job submit", "Submit a batch job; returns when the job is accepted.");
        options.custom_help("JOB [OPTION...]");
        options.add_options()("team", "team that owns the job", cxxopts::value<std::string>())(
            "priority", "0 (most urgent) to 9", cxxopts::value<int>()->default_value("5"))(
            "milli-processors", "thousandths of a processor", cxxopts::value<std::int64_t>()->default_value("1000"))(
            "memory-mb", "memory in MB", cxxopts::value<std::int64_t>()->default_value("256"))(
            "accelerators", "whole accelerators", cxxopts::value<int>()->default_value("0"))(
            "payload", "payload that is passed to the worker", cxxopts::value<std::string>());
        const ParsedOptions parsed(options, arguments);
        if (!parsed.shouldRunCommand())
            return parsed.exitCode();
        if (parsed.positionalArguments().size() != 1 || !parsed.has("team"))
            return printUsageError("plantainpier job submit", "expected exactly one JOB and --team TEAM");
        const Json body { { "job", parsed.positionalArguments().front() }, { "team", parsed.stringValue("team") },
            { "priority", parsed.result()["priority"].as<int>() },
            { "milli_processors", parsed.result()["milli-processors"].as<std::int64_t>() },
            { "memory_mb", parsed.result()["memory-mb"].as<std::int64_t>() },
            { "accelerators", parsed.result()["accelerators"].as<int>() },
            { "payload", parsed.stringValue("payload") } };
        return printResponse(
            callEntry(parsed.stringValue("entry"), "POST", "/v1/jobs", body.dump(), callTimeoutMilliseconds),
            parsed.has("json"));
    }

    /// Calls the entry for one job: GET shows the job, DELETE cancels it.
    ExitCode callJobById(const std::string& subcommand, const std::string& method, const CommandArguments& arguments)
    {
        cxxopts::Options options("plantainpier job " + subcommand, "Show or cancel the job with this id.");
        options.custom_help("JOB [OPTION...]");
        const ParsedOptions parsed(options, arguments);
        if (!parsed.shouldRunCommand())
            return parsed.exitCode();
        if (parsed.positionalArguments().size() != 1)
            return printUsageError("plantainpier job " + subcommand, "expected exactly one JOB");
        return printResponse(
            callEntry(parsed.stringValue("entry"), method,
                "/v1/jobs/" + escapePathSegment(parsed.positionalArguments().front()), "", callTimeoutMilliseconds),
            parsed.has("json"));
    }

} // namespace

ExitCode runJobCommand(const CommandArguments& arguments)
{
    const std::string subcommand = arguments.empty() ? std::string() : arguments.front();
    const CommandArguments subcommandArguments(
        arguments.empty() ? arguments.end() : arguments.begin() + 1, arguments.end());
    if (subcommand == "submit")
        return submitJob(subcommandArguments);
    if (subcommand == "show")
        return callJobById(subcommand, "GET", subcommandArguments);
    if (subcommand == "cancel")
        return callJobById(subcommand, "DELETE", subcommandArguments);
    if (subcommand == "--help")
        return runHelpCommand({ "job" });
    return printUsageError("plantainpier job", "expected the subcommand submit, show or cancel");
}

} // namespace Plantainpier
