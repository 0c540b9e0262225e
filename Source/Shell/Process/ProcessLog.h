/// The log of a daemon: lines to standard output, written by a thread of their own. Used by the programs' main
/// functions.
#pragma once

#include <cstdint>
#include <string>

namespace Plantainpier {

/// How a daemon logs.
struct LogOptions {
    std::string program;
    /// In the words of spdlog.
    std::string pattern;
    std::string level = "info";
    /// Lines that may wait for the writing thread. The ring is allocated whole: it counts against the process's memory.
    std::size_t ringLines = 0;
};

/// Begins to log. A slow or stopped reader holds up no decision: when the ring is full the oldest lines are lost.
void openLog(const LogOptions& options);
/// Lines that were lost since the start.
std::uint64_t droppedLogLines();
/// Writes what waits and ends the log. When nobody reads it ends the process with this exit code after a second: the
/// platform waits for a process that stops, and its log does not.
void closeLog(int exitCode);

/// From here on signals that end a process or ask it to reload are only taken by the thread that waits for them, and a
/// reader that has gone shows as an error of the write.
void blockSignals(bool alsoReload);

} // namespace Plantainpier
