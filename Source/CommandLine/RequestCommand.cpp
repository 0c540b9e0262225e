/// plantainpier request and plantainpier outcome.
#include "CommandLine/Command.h"

namespace Plantainpier {

namespace {

    constexpr int defaultDeadlineMilliseconds = 1000;
    /// The entry answers by the deadline; this long after it, nothing more is to be expected.
    constexpr int answerGraceMilliseconds = 2000;
    constexpr int questionTimeoutMilliseconds = 5000;

} // namespace

ExitCode runRequestCommand(const CommandArguments& arguments)
{
    cxxopts::Options options("plantainpier request", "Send one latency-critical request and wait for its outcome.");
    options.add_options()("class", "class of the request in the bundle", cxxopts::value<std::string>())(
        "caller", "who asks", cxxopts::value<std::string>()->default_value("plantainpier"))(
        "key", "name for resends and questions; required unless --idempotent", cxxopts::value<std::string>())(
        "body", "what the target gets", cxxopts::value<std::string>())("deadline-ms", "time until the answer is due",
        cxxopts::value<int>()->default_value(std::to_string(defaultDeadlineMilliseconds)))(
        "idempotent", "running it twice does no harm")("resend", "it was sent before and its outcome is not known");
    const ParsedOptions parsed(options, arguments);
    if (!parsed.isUsable())
        return parsed.exitCode();
    if (!parsed.has("class"))
        return showUsage("plantainpier request", "--class is required");
    const int deadline = parsed.values()["deadline-ms"].as<int>();
    Json body { { "caller", parsed.values()["caller"].as<std::string>() }, { "class", parsed.text("class") },
        { "idempotent", parsed.has("idempotent") }, { "deadline_ms", deadline }, { "body", parsed.text("body") } };
    if (parsed.has("key"))
        body["key"] = parsed.text("key");
    if (parsed.has("resend"))
        body["resend"] = true;
    return showAnswer(
        callEntry(parsed.text("entry"), "POST", "/v1/requests", body.dump(), deadline + answerGraceMilliseconds),
        parsed.has("json"));
}

ExitCode runOutcomeCommand(const CommandArguments& arguments)
{
    cxxopts::Options options("plantainpier outcome", "Ask what became of the request with this key.");
    options.custom_help("KEY [OPTION...]");
    const ParsedOptions parsed(options, arguments);
    if (!parsed.isUsable())
        return parsed.exitCode();
    if (parsed.words().size() != 1)
        return showUsage("plantainpier outcome", "give one key");
    return showAnswer(callEntry(parsed.text("entry"), "GET", "/v1/requests/" + escapePath(parsed.words().front()), "",
                          questionTimeoutMilliseconds),
        parsed.has("json"));
}

} // namespace Plantainpier
