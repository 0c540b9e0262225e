/// The commands of plantainpier, the command-line tool of operators and callers, and the functions that all commands
/// use.
#pragma once

#include "Base/Json.h"
#include "Base/Result.h"

#include <cxxopts.hpp>
#include <string>
#include <vector>

namespace Plantainpier {

/// Exit codes of the tool. The help page is Help/command/exit-codes.md.
enum class ExitCode {
    Ok = 0,
    /// The entry or a check refused the input: nothing was run, accepted or rolled out.
    Refused = 1,
    UsageError = 2,
    /// The command may or may not have taken effect.
    OutcomeUnknown = 3,
    /// No connection to the entry, or an error on this host, such as an unreadable file.
    Failed = 4,
};

/// The arguments after a command's name.
using CommandArguments = std::vector<std::string>;

/// One row of the command table: the name, the summary in the help and the function that runs the command.
struct Command {
    std::string name;
    std::string summary;
    ExitCode (*run)(const CommandArguments& arguments);
};

ExitCode runRequestCommand(const CommandArguments& arguments);
ExitCode runOutcomeCommand(const CommandArguments& arguments);
ExitCode runJobCommand(const CommandArguments& arguments);
ExitCode runStatusCommand(const CommandArguments& arguments);
ExitCode runBundleCommand(const CommandArguments& arguments);
ExitCode runKeyCommand(const CommandArguments& arguments);
ExitCode runConfigCommand(const CommandArguments& arguments);
ExitCode runHelpCommand(const CommandArguments& arguments);

/// All commands, in the order in which the help lists them.
const std::vector<Command>& commandTable();

/// Parses the options of one command. The constructor prints the help if --help is given, and a usage error if the
/// arguments are invalid.
class ParsedOptions {
public:
    /// Adds --help, --json and --entry to the command's own options.
    ParsedOptions(cxxopts::Options& options, const CommandArguments& arguments);

    /// False if the help or a usage error was printed: the command then returns exitCode().
    bool shouldRunCommand() const { return m_shouldRunCommand; }
    ExitCode exitCode() const { return m_exitCode; }
    const cxxopts::ParseResult& result() const { return m_result; }
    bool has(const std::string& option) const { return m_result.count(option) > 0; }
    /// The value of a string option; empty if the option is absent. For "entry": the first address given, or the
    /// default entry.
    std::string stringValue(const std::string& option) const;
    /// The arguments that are not options.
    const std::vector<std::string>& positionalArguments() const { return m_result.unmatched(); }

private:
    bool m_shouldRunCommand = false;
    ExitCode m_exitCode = ExitCode::UsageError;
    cxxopts::ParseResult m_result;
};

/// The HTTP response of an entry. The JSON value is discarded (Json::is_discarded()) if the text is not valid JSON.
struct EntryResponse {
    int status = 0;
    std::string text;
    Json json;
};

/// Sends one HTTP request to an entry, given as ADDRESS:PORT, and waits for the response. Fails with Unreachable if
/// nothing was sent, and with Timeout if the request may have reached the entry.
Result<EntryResponse> callEntry(const std::string& entry, const std::string& method, const std::string& path,
    const std::string& body, int timeoutMilliseconds);

/// Prints an entry's response as "key: value" lines, or unchanged if asJson is set or it is no JSON object. Returns the
/// exit code that belongs to the response.
ExitCode printResponse(const Result<EntryResponse>& response, bool asJson);
/// Prints an error to standard error and returns the given exit code.
ExitCode printError(const Error& error, ExitCode code);
/// Prints what is wrong with the arguments and how to get help to standard error, and returns UsageError.
ExitCode printUsageError(const std::string& command, const std::string& text);

Result<std::string> readFile(const std::string& path);
/// Percent-encodes a string for use as one segment of a URL path.
std::string escapePathSegment(const std::string& segment);

} // namespace Plantainpier
