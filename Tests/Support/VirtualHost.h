/// Simulates a host of the platform in virtual time, with starts, stops, leases and ends of runs, and records all runs
/// for the checks. Used by RunHistoryTest, OrderSimulation and StandingWorkHistory.
#pragma once

#include "Decision/Job/HostRegistry.h"

#include <algorithm>
#include <limits>
#include <map>
#include <string>
#include <vector>

namespace Plantainpier {

/// One run that a host carried out. Times are in milliseconds since the start of the history.
struct RunRecord {
    Wire::TaskName task;
    int run = 0;
    int startedAt = 0;
    /// Negative while the run is active.
    int endedAt = -1;
    Wire::RunEnd::type how = Wire::RunEnd::Stopped;
    /// Number of the end of the run on its host.
    std::int64_t endNumber = 0;
    /// The end was acknowledged before the lease of the host lapsed.
    bool acknowledged = false;
    bool lapsedUnacknowledged = false;
    /// Millicores in use on the host when the run started, those of the run included.
    std::int64_t milliCoresInUse = 0;
    std::string hostId;
};

/// The tasks of one incarnation of a host.
class VirtualHost {
public:
    /// The clock of the host is zero at clockStart, in milliseconds since the start of the history.
    VirtualHost(std::string hostId, std::int64_t incarnation, std::vector<RunRecord>& records, int clockStart = 0)
        : m_hostId(std::move(hostId))
        , m_incarnation(incarnation)
        , m_records(records)
        , m_clockStart(clockStart)
    {
    }

    const std::string& hostId() const { return m_hostId; }
    std::int64_t incarnation() const { return m_incarnation; }

    /// Starts a run that ends with `how` after the given duration. Returns the reason of a refusal, or an empty string.
    std::string start(int now, std::int64_t fence, const Wire::StartOrder& order, std::int64_t lease,
        int durationMilliseconds, Wire::RunEnd::type how, std::int64_t milliCores = 0)
    {
        if (!admitFence(fence))
            return "fence";
        extendLease(now, lease);
        if (isRunning(order.task, order.run))
            return {};
        int& highestRun = m_highestRun[taskKey(order.task)];
        if (order.run <= highestRun)
            return "old";
        if (m_leaseUntil <= clock(now))
            return "late";
        highestRun = order.run;
        m_records.push_back(RunRecord { order.task, order.run, now });
        m_records.back().hostId = m_hostId;
        m_running.emplace(runKey(order.task, order.run),
            ActiveRun { m_records.size() - 1, now + durationMilliseconds, how, milliCores, durationMilliseconds, now });
        for (const std::pair<const RunKey, ActiveRun>& entry : m_running)
            m_records.back().milliCoresInUse += entry.second.milliCores;
        return {};
    }

    /// Returns false if the fence is too low.
    bool stop(int now, std::int64_t fence, const Wire::TaskName& task, int run)
    {
        if (!admitFence(fence))
            return false;
        int& highestRun = m_highestRun[taskKey(task)];
        highestRun = std::max(highestRun, run);
        std::map<RunKey, ActiveRun>::iterator it = m_running.find(runKey(task, run));
        if (it == m_running.end())
            return true;
        endRun(now, it->second.record, Wire::RunEnd::Stopped);
        m_running.erase(it);
        return true;
    }

    /// Runs the task at the given share of full speed, so that the rest of it takes longer.
    void setPace(int now, const Wire::TaskName& task, int run, int percent)
    {
        const std::map<RunKey, ActiveRun>::iterator it = m_running.find(runKey(task, run));
        if (it == m_running.end())
            return;
        ActiveRun& active = it->second;
        active.workLeft = active.workLeftAt(now);
        active.pacePercent = percent;
        active.pacedAt = now;
        active.endsAt = percent > 0 ? now + active.workLeft * fullPacePercent / percent : never;
    }

    /// The completed share of a run that was started with the given duration.
    int progressPercent(int now, const Wire::TaskName& task, int run, int durationMilliseconds) const
    {
        const std::map<RunKey, ActiveRun>::const_iterator it = m_running.find(runKey(task, run));
        if (it == m_running.end() || durationMilliseconds <= 0)
            return 0;
        return std::clamp(100 * (durationMilliseconds - it->second.workLeftAt(now)) / durationMilliseconds, 0, 99);
    }

    /// Extends the lease and drops the ends up to the acknowledged number. Returns false if the fence is too low.
    bool renewLease(int now, std::int64_t fence, std::int64_t lease, std::int64_t acknowledged)
    {
        if (!admitFence(fence))
            return false;
        extendLease(now, lease);
        m_acknowledgedNumber = std::max(m_acknowledgedNumber, acknowledged);
        while (!m_ended.empty() && m_records[m_ended.front()].endNumber <= acknowledged) {
            RunRecord& record = m_records[m_ended.front()];
            record.acknowledged = !record.lapsedUnacknowledged;
            m_ended.erase(m_ended.begin());
        }
        return true;
    }

    void tick(int now)
    {
        const bool leaseExpired = m_leaseUntil > 0 && clock(now) >= m_leaseUntil;
        for (std::map<RunKey, ActiveRun>::iterator it = m_running.begin(); it != m_running.end();) {
            if (!leaseExpired && now < it->second.endsAt) {
                ++it;
                continue;
            }
            endRun(now, it->second.record, leaseExpired ? Wire::RunEnd::Lapsed : it->second.how);
            it = m_running.erase(it);
        }
        for (std::size_t n = 0; leaseExpired && n < m_ended.size(); ++n)
            m_records[m_ended[n]].lapsedUnacknowledged = true;
    }

    /// Ends the process of the host: all runs end, and no run or end of this incarnation is listed any more.
    void crash(int now)
    {
        for (std::pair<const RunKey, ActiveRun>& entry : m_running)
            m_records[entry.second.record].endedAt = now;
        m_running.clear();
        m_ended.clear();
    }

    bool isRunning(const Wire::TaskName& task, int run) const { return m_running.contains(runKey(task, run)); }
    bool hasUnacknowledgedEnd(const Wire::TaskName& task, int run) const
    {
        for (const std::size_t n : m_ended) {
            if (m_records[n].task == task && m_records[n].run == run)
                return true;
        }
        return false;
    }

    void addListing(Wire::HostReport& report) const
    {
        for (const std::pair<const RunKey, ActiveRun>& entry : m_running) {
            Wire::RunningTask row;
            row.task = m_records[entry.second.record].task;
            row.run = m_records[entry.second.record].run;
            report.running.push_back(row);
        }
        for (const std::size_t n : m_ended) {
            Wire::EndedTask row;
            row.number = m_records[n].endNumber;
            row.task = m_records[n].task;
            row.run = m_records[n].run;
            row.how = m_records[n].how;
            report.ended.push_back(row);
        }
    }
    bool hasUnacknowledgedEnds() const { return !m_ended.empty(); }
    std::int64_t fence() const { return m_fence; }
    std::int64_t clock(int now) const { return now - m_clockStart; }

private:
    static constexpr int fullPacePercent = 100;
    static constexpr int never = std::numeric_limits<int>::max();

    /// An active run: its index in the records, and when and how it will end unless it is stopped.
    struct ActiveRun {
        std::size_t record;
        int endsAt;
        Wire::RunEnd::type how;
        std::int64_t milliCores;
        /// Work in milliseconds at full pace that was left when the pace was last changed.
        int workLeft;
        int pacedAt;
        int pacePercent = fullPacePercent;

        int workLeftAt(int now) const
        {
            const std::int64_t done = std::int64_t(now - pacedAt) * pacePercent / fullPacePercent;
            return static_cast<int>(std::max<std::int64_t>(0, workLeft - done));
        }
    };

    /// The longest lease that hosts of the platform accept.
    static constexpr std::int64_t longestLeaseMilliseconds = 10'000;

    static std::string taskKey(const Wire::TaskName& task)
    {
        return task.jobId + "." + std::to_string(task.occurrence) + "." + std::to_string(task.step) + "."
            + std::to_string(task.index);
    }
    bool admitFence(std::int64_t fence)
    {
        if (fence < m_fence)
            return false;
        m_fence = fence;
        return true;
    }
    void extendLease(int now, std::int64_t lease)
    {
        m_leaseUntil = std::max(m_leaseUntil, std::min(lease, clock(now) + longestLeaseMilliseconds));
    }
    void endRun(int now, std::size_t n, Wire::RunEnd::type how)
    {
        m_records[n].endedAt = now;
        m_records[n].how = how;
        m_records[n].endNumber = ++m_lastEndNumber;
        if (m_lastEndNumber <= m_acknowledgedNumber)
            m_records[n].acknowledged = true;
        else
            m_ended.push_back(n);
    }

    std::string m_hostId;
    std::int64_t m_incarnation;
    std::vector<RunRecord>& m_records;
    int m_clockStart;
    std::int64_t m_fence = 0;
    std::int64_t m_leaseUntil = 0;
    std::int64_t m_lastEndNumber = 0;
    std::int64_t m_acknowledgedNumber = 0;
    std::map<RunKey, ActiveRun> m_running;
    std::vector<std::size_t> m_ended;
    /// Highest run number that was started or stopped, by task.
    std::map<std::string, int> m_highestRun;
};

} // namespace Plantainpier
