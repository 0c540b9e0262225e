/// Implements the commands plantainpier request and plantainpier outcome.
#include "CommandLine/Command.h"

namespace Plantainpier {

namespace {

    constexpr int defaultDeadlineMilliseconds = 1000;
    /// The entry responds by the deadline. No response is expected once this further time has passed.
    constexpr int responseGraceMilliseconds = 2000;
    constexpr int queryTimeoutMilliseconds = 5000;

} // namespace

ExitCode runRequestCommand(const CommandArguments& arguments)
{
    cxxopts::Options options("plantainpier request", "Send one latency-critical request and wait for its outcome.");
    options.add_options()("class", "class of the request in the bundle", cxxopts::value<std::string>())(
        "caller", "name of the caller", cxxopts::value<std::string>()->default_value("plantainpier"))("key",
        "key that identifies the request for resends and queries; required unless --idempotent",
        cxxopts::value<std::string>())("body", "body that is passed to the target", cxxopts::value<std::string>())(
        "deadline-ms", "time in milliseconds until the response is due",
        cxxopts::value<int>()->default_value(std::to_string(defaultDeadlineMilliseconds)))(
        "idempotent", "the request may safely run more than once")(
        "resend", "the request was sent before and its outcome is unknown");
    const ParsedOptions parsed(options, arguments);
    if (!parsed.shouldRunCommand())
        return parsed.exitCode();
    if (!parsed.has("class"))
        return printUsageError("plantainpier request", "--class NAME is required");
    const int deadline = parsed.result()["deadline-ms"].as<int>();
    Json body { { "caller", parsed.result()["caller"].as<std::string>() }, { "class", parsed.stringValue("class") },
        { "idempotent", parsed.has("idempotent") }, { "deadline_ms", deadline },
        { "body", parsed.stringValue("body") } };
    if (parsed.has("key"))
        body["key"] = parsed.stringValue("key");
    if (parsed.has("resend"))
        body["resend"] = true;
    return printResponse(callEntry(parsed.stringValue("entry"), "POST", "/v1/requests", body.dump(),
                             deadline + responseGraceMilliseconds),
        parsed.has("json"));
}

ExitCode runOutcomeCommand(const CommandArguments& arguments)
{
    cxxopts::Options options("plantainpier outcome", "Query the outcome of the request with this key.");
    options.custom_help("KEY [OPTION...]");
    const ParsedOptions parsed(options, arguments);
    if (!parsed.shouldRunCommand())
        return parsed.exitCode();
    if (parsed.positionalArguments().size() != 1)
        return printUsageError("plantainpier outcome", "expected exactly one KEY");
    return printResponse(
        callEntry(parsed.stringValue("entry"), "GET",
            "/v1/requests/" + escapePathSegment(parsed.positionalArguments().front()), "", queryTimeoutMilliseconds),
        parsed.has("json"));
}

} // namespace Plantainpier
