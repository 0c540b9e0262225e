#include "CommandLine/Command.h"

#include "Shell/Connection/HttpClient.h"

#include <curl/curl.h>
#include <fstream>
#include <iostream>
#include <sstream>

namespace Plantainpier {

namespace {

    constexpr const char* defaultEntry = "127.0.0.1:8080";
    constexpr int httpGatewayTimeout = 504;
    constexpr int firstErrorStatus = 400;

    ExitCode exitCodeOf(const EntryAnswer& answer)
    {
        if (answer.status < firstErrorStatus)
            return ExitCode::Ok;
        return answer.status == httpGatewayTimeout ? ExitCode::Unknown : ExitCode::Refused;
    }

    void printLines(const Json& json)
    {
        for (Json::const_iterator it = json.begin(); it != json.end(); ++it)
            std::cout << it.key() << ": " << (it->is_string() ? it->get<std::string>() : it->dump()) << "\n";
    }

} // namespace

const std::vector<Command>& commandTable()
{
    static const std::vector<Command> commands {
        { "request", "send one latency-critical request", runRequestCommand },
        { "outcome", "ask what became of a request, by its key", runOutcomeCommand },
        { "job", "submit, show or cancel a batch job", runJobCommand },
        { "status", "show what an entry knows of the system", runStatusCommand },
        { "bundle", "check, sign and roll out policy bundles", runBundleCommand },
        { "key", "make and show signing keys", runKeyCommand },
        { "config", "check a settings file of the daemon", runConfigCommand },
        { "help", "show help on a command, setting or rule", runHelpCommand },
    };
    return commands;
}

ParsedOptions::ParsedOptions(cxxopts::Options& options, const CommandArguments& arguments)
{
    options.add_options()("entry", "entry to talk to, as ADDRESS:PORT; may be repeated where a command says so",
        cxxopts::value<std::vector<std::string>>())("json", "print the answer as JSON")("help", "show this help");
    options.allow_unrecognised_options();
    std::vector<const char*> words { "plantainpier" };
    for (const std::string& argument : arguments)
        words.push_back(argument.c_str());
    try {
        m_values = options.parse(static_cast<int>(words.size()), words.data());
    } catch (const std::exception& exception) {
        showUsage(options.program(), exception.what());
        return;
    }
    if (has("help")) {
        std::cout << options.help();
        m_exitCode = ExitCode::Ok;
        return;
    }
    for (const std::string& word : m_values.unmatched()) {
        if (!word.starts_with("--"))
            continue;
        showUsage(options.program(), "the option " + word + " is not known");
        return;
    }
    m_usable = true;
}

std::string ParsedOptions::text(const std::string& option) const
{
    if (option == "entry")
        return has(option) ? m_values[option].as<std::vector<std::string>>().front() : defaultEntry;
    return has(option) ? m_values[option].as<std::string>() : std::string();
}

Result<EntryAnswer> callEntry(const std::string& entry, const std::string& method, const std::string& path,
    const std::string& body, int timeoutMilliseconds)
{
    const std::size_t colon = entry.rfind(':');
    if (colon == std::string::npos)
        return Error { ErrorCode::InvalidField, "--entry " + entry + ": give ADDRESS:PORT" };
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
    request.ownConnection = true;
    const HttpResponse response = valueOf(http)->fetch(std::move(request));
    if (response.kind == HttpResponse::Kind::NotConnected)
        return Error { ErrorCode::Unreachable, "entry " + entry + " accepts no connection; nothing was sent" };
    if (response.kind == HttpResponse::Kind::Broken)
        return Error { ErrorCode::Timeout, "entry " + entry + " gave no answer: " + response.text };
    return EntryAnswer { response.status, response.body, parseJson(response.body) };
}

ExitCode showAnswer(const Result<EntryAnswer>& answer, bool asJson)
{
    if (!isOk(answer)) {
        const bool sent = errorOf(answer).code == ErrorCode::Timeout;
        return showError(errorOf(answer), sent ? ExitCode::Unknown : ExitCode::Failed);
    }
    const EntryAnswer& content = valueOf(answer);
    if (asJson || !content.json.is_object())
        std::cout << content.text << "\n";
    else
        printLines(content.json);
    return exitCodeOf(content);
}

ExitCode showError(const Error& error, ExitCode code)
{
    std::cerr << "plantainpier: error " << static_cast<int>(error.code) << " " << name(error.code) << ": "
              << error.message << "\n";
    return code;
}

ExitCode showUsage(const std::string& command, const std::string& text)
{
    std::cerr << command << ": " << text << "; see " << command << " --help\n";
    return ExitCode::Usage;
}

Result<std::string> readFile(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        return Error { ErrorCode::InvalidField, path + ": cannot be read" };
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string escapePath(const std::string& word)
{
    char* escaped = curl_easy_escape(nullptr, word.c_str(), static_cast<int>(word.size()));
    std::string text(escaped);
    curl_free(escaped);
    return text;
}

} // namespace Plantainpier
