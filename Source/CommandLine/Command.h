/// The commands of the operators' and callers' tool, and what they share.
#pragma once

#include "Base/Json.h"
#include "Base/Result.h"

#include <cxxopts.hpp>
#include <string>
#include <vector>

namespace Plantainpier {

/// Exit codes of the tool; help page: Help/command/exit-codes.md.
enum class ExitCode {
    Ok = 0,
    /// The answer is a refusal: nothing was run, accepted or rolled out.
    Refused = 1,
    Usage = 2,
    /// It may or may not have taken effect.
    Unknown = 3,
    /// No answer, or a fault in a file or on this host.
    Failed = 4,
};

/// A command with the words after its name.
using CommandArguments = std::vector<std::string>;

/// One row of the command table.
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

/// Every command in the order in which help lists them.
const std::vector<Command>& commandTable();

/// Parses a command's options; nothing when help was printed or the words are wrong (exitCode says which).
class ParsedOptions {
public:
    /// Adds --help, --json and --entry to the command's own options.
    ParsedOptions(cxxopts::Options& options, const CommandArguments& arguments);

    bool isUsable() const { return m_usable; }
    ExitCode exitCode() const { return m_exitCode; }
    const cxxopts::ParseResult& values() const { return m_values; }
    bool has(const std::string& option) const { return m_values.count(option) > 0; }
    std::string text(const std::string& option) const;
    /// Words that are no options.
    const std::vector<std::string>& words() const { return m_values.unmatched(); }

private:
    bool m_usable = false;
    ExitCode m_exitCode = ExitCode::Usage;
    cxxopts::ParseResult m_values;
};

/// An answer of an entry.
struct EntryAnswer {
    int status = 0;
    std::string text;
    Json json;
};

/// One call to an entry, given as ADDRESS:PORT.
Result<EntryAnswer> callEntry(const std::string& entry, const std::string& method, const std::string& path,
    const std::string& body, int timeoutMilliseconds);

/// Prints an entry's answer, as it came with --json and as key: value lines otherwise, and says how it ended.
ExitCode showAnswer(const Result<EntryAnswer>& answer, bool asJson);
/// Prints an error for people on the error output.
ExitCode showError(const Error& error, ExitCode code);
/// Prints that the words are wrong, and where help is.
ExitCode showUsage(const std::string& command, const std::string& text);

/// The contents of a file.
Result<std::string> readFile(const std::string& path);
/// A word made fit for a path of a URL.
std::string escapePath(const std::string& word);

} // namespace Plantainpier
