#include "CommandLine/Command.h"

#include "Shell/Connection/HttpClient.h"

#include <curl/curl.h>
#include <fstream>
#include <iostream>
#include <sstream>

namespace Plantainpier {

namespace {

    constexpr const char* defaultEntry = "127.0.0.1:8080";
    /// An entry responds with this status when the outcome of the call is unknown.
    constexpr int httpGatewayTimeout = 504;
    constexpr int lowestHttpErrorStatus = 400;

    ExitCode exitCodeFor(const EntryResponse& response)
    {
        if (response.status < lowestHttpErrorStatus)
            return ExitCode::Ok;
        return response.status == httpGatewayTimeout ? ExitCode::OutcomeUnknown : ExitCode::Refused;
    }

    void printKeyValueLines(const Json& json)
    {
        for (Json::const_iterator it = json.begin(); it != json.end(); ++it)
            std::cout << it.key() << ": " << (it->is_string() ? it->get<std::string>() : it->dump()) << "\n";
    }

} // namespace

const std::vector<Command>& commandTable()
{
    static const std::vector<Command> commands {
        { "request", "send one latency-critical request", runRequestCommand },
        { "outcome", "query the outcome of a request by its key", runOutcomeCommand },
        { "job", "submit, show or cancel a batch job", runJobCommand },
        { "status", "show the state of the system as one entry reports it", runStatusCommand },
        { "bundle", "check, sign and roll out policy bundles", runBundleCommand },
        { "key", "create and show signing keys", runKeyCommand },
        { "config", "check a settings file of plantainpierd", runConfigCommand },
        { "help", "show the help page of a command, setting or bundle rule", runHelpCommand },
    };
    return commands;
}

ParsedOptions::ParsedOptions(cxxopts::Options& options, const CommandArguments& arguments)
{
    options.add_options()("entry", "HTTP address of the entry, as ADDRESS:PORT; may be repeated if the command says so",
        cxxopts::value<std::vector<std::string>>())("json", "print the response as JSON")("help", "show this help");
    options.allow_unrecognised_options();
    std::vector<const char*> argumentValues { "plantainpier" };
    for (const std::string& argument : arguments)
        argumentValues.push_back(argument.c_str());
    try {
        m_result = options.parse(static_cast<int>(argumentValues.size()), argumentValues.data());
    } catch (const std::exception& exception) {
        printUsageError(options.program(), exception.what());
        return;
    }
    if (has("help")) {
        std::cout << options.help();
        m_exitCode = ExitCode::Ok;
        return;
    }
    for (const std::string& argument : m_result.unmatched()) {
        if (!argument.starts_with("--"))
            continue;
        printUsageError(options.program(), "the option " + argument + " is not supported by this command");
        return;
    }
    m_shouldRunCommand = true;
}

std::string ParsedOptions::stringValue(const std::string& option) const
{
    if (option == "entry")
        return has(option) ? m_result[option].as<std::vector<std::string>>().front() : defaultEntry;
    return has(option) ? m_result[option].as<std::string>() : std::string();
}

Result<EntryResponse> callEntry(const std::string& entry, const std::string& method, const std::string& path,
    const std::string& body, int timeoutMilliseconds)
{
    const std::size_t colon = entry.rfind(':');
    if (colon == std::string::npos)
        return Error { ErrorCode::InvalidField,
            "--entry " + entry + ": the port is missing; use the form ADDRESS:PORT" };
    const Result<std::shared_ptr<HttpClient>> http = HttpClient::create();
    if (!isOk(http))
        return errorOf(http);
    HttpRequest request;
    request.method = method;
    request.address = entry.substr(0, colon);
    request.port = std::atoi(entry.c_str() + colon + 1);
    request.path = path;
    request.body = body;
    request.timeout = milliseconds(timeoutMilliseconds);
    request.useNewConnection = true;
    const HttpResponse response = valueOf(http)->fetch(std::move(request));
    if (response.kind == HttpResponse::Kind::NotConnected)
        return Error { ErrorCode::Unreachable,
            "cannot connect to entry " + entry
                + "; nothing was sent. Check the address and that the entry is running" };
    if (response.kind == HttpResponse::Kind::Broken)
        return Error { ErrorCode::Timeout, "entry " + entry + " sent no complete response: " + response.text };
    return EntryResponse { response.status, response.body, parseJson(response.body) };
}

ExitCode printResponse(const Result<EntryResponse>& response, bool asJson)
{
    if (!isOk(response)) {
        const bool mayHaveTakenEffect = errorOf(response).code == ErrorCode::Timeout;
        return printError(errorOf(response), mayHaveTakenEffect ? ExitCode::OutcomeUnknown : ExitCode::Failed);
    }
    const EntryResponse& entryResponse = valueOf(response);
    if (asJson || !entryResponse.json.is_object())
        std::cout << entryResponse.text << "\n";
    else
        printKeyValueLines(entryResponse.json);
    return exitCodeFor(entryResponse);
}

ExitCode printError(const Error& error, ExitCode code)
{
    std::cerr << "plantainpier: error " << static_cast<int>(error.code) << " " << name(error.code) << ": "
              << error.message << "\n";
    return code;
}

ExitCode printUsageError(const std::string& command, const std::string& text)
{
    std::cerr << command << ": " << text << "; see " << command << " --help\n";
    return ExitCode::UsageError;
}

Result<std::string> readFile(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        return Error { ErrorCode::InvalidField, path + ": cannot be read; check that the file exists and is readable" };
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string escapePathSegment(const std::string& segment)
{
    char* escaped = curl_easy_escape(nullptr, segment.c_str(), static_cast<int>(segment.size()));
    std::string text(escaped);
    curl_free(escaped);
    return text;
}

} // namespace Plantainpier
