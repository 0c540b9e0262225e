#include "Decision/Process/ReportedRuns.h"

#include <algorithm>
#include <cstdlib>

namespace Plantainpier {

namespace {

    /// Interval of reports while nothing but usage and progress changes. Usage figures cover half a second.
    constexpr Duration figuresInterval = milliseconds(200);
    /// Relative change of a usage figure that is reported. The figures are rough.
    constexpr double usageChangeShare = 0.05;
    /// Relative rise of a usage figure that is reported at once: a tail latency that rises may call for slower fillers.
    constexpr double usageRiseShare = 0.15;
    constexpr int progressChangePercent = 10;
    constexpr int wholeProgressPercent = 100;
    /// A newer checkpoint matters only if the host is lost, so it may be reported this much later.
    constexpr Duration checkpointInterval = seconds(1);

} // namespace

void ReportedRuns::reset()
{
    m_hasBase = false;
    m_rows.clear();
    m_lastEndNumber = 0;
}

bool ReportedRuns::hasChanged(Instant now, const ReportedRow& reported, const Wire::RunningTask& row)
{
    const double usageChange = static_cast<double>(std::abs(row.usage - reported.row.usage));
    if (usageChange > usageChangeShare * static_cast<double>(reported.row.usage))
        return true;
    const int progressChange = std::abs(row.progressPercent - reported.row.progressPercent);
    if (progressChange >= progressChangePercent || (progressChange > 0 && row.progressPercent == wholeProgressPercent))
        return true;
    return row.checkpoint != reported.row.checkpoint && now - reported.reportedAt >= checkpointInterval;
}

bool ReportedRuns::hasRisen(const ReportedRow& reported, const Wire::RunningTask& row)
{
    return static_cast<double>(row.usage) > (1 + usageRiseShare) * static_cast<double>(reported.row.usage);
}

bool ReportedRuns::isAtOtherPace(const ReportedRow& reported, const Wire::RunningTask& row)
{
    return row.__isset.acknowledgedPacePercent != reported.row.__isset.acknowledgedPacePercent
        || row.acknowledgedPacePercent != reported.row.acknowledgedPacePercent;
}

void ReportedRuns::recordPace(const RunKey& key, int percent)
{
    const std::map<RunKey, ReportedRow>::iterator it = m_rows.find(key);
    if (it != m_rows.end())
        it->second.row.__set_acknowledgedPacePercent(percent);
}

void ReportedRuns::omitDescription(Wire::HostReport& report)
{
    report.changesOnly = true;
    report.sideId.clear();
    report.serviceName.clear();
    report.zone.clear();
    report.rack.clear();
    report.labels.clear();
    report.capacity = Wire::Resources();
}

void ReportedRuns::reportCompletely(Instant now, const Wire::HostReport& report)
{
    reset();
    m_lastFiguresAt = now;
    // Only a list with all ends shows which runs are over.
    m_hasBase = !report.endsOmitted;
    for (const Wire::RunningTask& row : report.running)
        m_rows.insert_or_assign(runKey(row.task, row.run), ReportedRow { row, now, m_listNumber });
    for (const Wire::EndedTask& row : report.ended)
        m_lastEndNumber = std::max(m_lastEndNumber, row.number);
}

bool ReportedRuns::reduce(Instant now, Wire::HostReport& report)
{
    ++m_listNumber;
    if (!m_hasBase || report.endsOmitted) {
        reportCompletely(now, report);
        return true;
    }
    const bool figuresDue = now - m_lastFiguresAt >= figuresInterval;
    std::vector<Wire::RunningTask> changed;
    for (Wire::RunningTask& row : report.running) {
        const RunKey key = runKey(row.task, row.run);
        const std::map<RunKey, ReportedRow>::iterator it = m_rows.find(key);
        const bool isNew = it == m_rows.end();
        if (!isNew)
            it->second.listNumber = m_listNumber;
        const bool isNeeded = isNew || isAtOtherPace(it->second, row) || hasRisen(it->second, row)
            || (figuresDue && hasChanged(now, it->second, row));
        if (!isNeeded)
            continue;
        m_rows.insert_or_assign(key, ReportedRow { row, now, m_listNumber });
        changed.push_back(std::move(row));
    }
    report.running = std::move(changed);
    for (std::map<RunKey, ReportedRow>::iterator it = m_rows.begin(); it != m_rows.end();) {
        if (it->second.listNumber == m_listNumber) {
            ++it;
            continue;
        }
        Wire::RunName removed;
        removed.task = it->second.row.task;
        removed.run = it->second.row.run;
        report.removed.push_back(std::move(removed));
        it = m_rows.erase(it);
    }
    std::erase_if(report.ended, [this](const Wire::EndedTask& row) { return row.number <= m_lastEndNumber; });
    for (const Wire::EndedTask& row : report.ended)
        m_lastEndNumber = std::max(m_lastEndNumber, row.number);
    omitDescription(report);
    if (figuresDue)
        m_lastFiguresAt = now;
    return figuresDue || !report.running.empty() || !report.removed.empty() || !report.ended.empty()
        || !report.results.empty();
}

} // namespace Plantainpier
