/// What the owner has been told of a host's runs over the current connection and under the current fence. Used by
/// HostAgent to report only what has changed: hosts list all their runs, and list them again with each end, so complete
/// reports would take most of the link of an owner of many hosts.
#pragma once

#include "Decision/Job/HostRegistry.h"

namespace Plantainpier {

/// Reduces lists of runs to their changes. The first list after reset() is reported completely.
class ReportedRuns {
public:
    /// Forgets what was reported: the owner, the connection, the fence or the host has changed, or a list failed.
    void reset();
    /// Removes from the report what the owner knows. Returns false if nothing is left to report and no report is due.
    bool reduce(Instant now, Wire::HostReport& report);
    /// The acknowledged pace of a run has been reported without a list.
    void recordPace(const RunKey& key, int percent);
    /// Makes the report one of changes, which has no description of the host.
    static void omitDescription(Wire::HostReport& report);

private:
    /// The newest reported row of a run.
    struct ReportedRow {
        Wire::RunningTask row;
        Instant reportedAt;
        /// Number of the newest list that showed the run.
        std::uint64_t listNumber = 0;
    };

    void reportCompletely(Instant now, const Wire::HostReport& report);
    /// Whether the figures of a run have changed so much that the owner needs them with the next report of figures.
    static bool hasChanged(Instant now, const ReportedRow& reported, const Wire::RunningTask& row);
    /// Whether the owner has another acknowledged pace of the run. The room of the host depends on it.
    static bool isAtOtherPace(const ReportedRow& reported, const Wire::RunningTask& row);
    /// Whether the figures of a run have to be reported at once.
    static bool hasRisen(const ReportedRow& reported, const Wire::RunningTask& row);

    bool m_hasBase = false;
    Instant m_lastFiguresAt;
    std::int64_t m_lastEndNumber = 0;
    std::uint64_t m_listNumber = 0;
    std::map<RunKey, ReportedRow> m_rows;
};

} // namespace Plantainpier
