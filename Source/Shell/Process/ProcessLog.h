/// The log of a daemon: lines on standard output, written by a dedicated thread. Used by the programs' main functions.
#pragma once

#include <cstdint>
#include <string>

namespace Plantainpier {

/// Options of the log.
struct LogOptions {
    std::string program;
    /// The line format, as an spdlog pattern.
    std::string pattern;
    std::string level = "info";
    /// Capacity of the queue to the writer thread in lines. The queue is allocated at the start and counts towards the
    /// memory of the process.
    std::size_t ringLines = 0;
};

/// Starts logging. A slow or stopped reader of standard output does not block decisions: if the queue is full, the
/// oldest lines are dropped.
void openLog(const LogOptions& options);
/// Number of lines dropped since the start.
std::uint64_t droppedLogLines();
/// Writes the queued lines and stops logging. If the lines cannot be written within a second because standard output is
/// not read, ends the process with this exit code: a blocked log must not delay the shutdown, for which the platform
/// waits.
void closeLog(int exitCode);

/// Blocks SIGTERM and SIGINT, and SIGHUP if alsoReload is set, in this thread and in threads it creates, so that only
/// sigwait() receives them. Ignores SIGPIPE, so that a write to a closed connection fails with an error.
void blockSignals(bool alsoReload);

} // namespace Plantainpier
