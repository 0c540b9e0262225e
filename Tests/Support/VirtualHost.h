/// A host for histories in virtual time: starts, stops, leases and ends as the platform's hosts keep them, and a record
/// of what it did for the checks. Used by RunHistoryTest and OrderHistoryTest.
#pragma once

#include "Decision/Job/HostRegistry.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace Plantainpier {

/// One run as it really went; times in ms of the history.
struct RunRecord {
    Wire::TaskName task;
    int run = 0;
    int startedAt = 0;
    /// Negative while it goes on.
    int endedAt = -1;
    Wire::RunEnd::type how = Wire::RunEnd::Stopped;
    /// Number of its end on its host.
    std::int64_t number = 0;
    /// Acknowledged before the lease of its host lapsed.
    bool acknowledged = false;
    bool lapsedUnacknowledged = false;
    /// Processors that ran on its host at its start, itself included.
    std::int64_t milliCoresTaken = 0;
};

/// The tasks of one incarnation of a host.
class VirtualHost {
public:
    /// Its clock counts from bornAt, in ms of the history.
    VirtualHost(std::string hostId, std::int64_t incarnation, std::vector<RunRecord>& records, int bornAt = 0)
        : m_hostId(std::move(hostId))
        , m_incarnation(incarnation)
        , m_records(records)
        , m_bornAt(bornAt)
    {
    }

    const std::string& hostId() const { return m_hostId; }
    std::int64_t incarnation() const { return m_incarnation; }

    /// Runs until its time is over, then ends as told. The reason when it refuses; empty when it starts.
    std::string start(int now, std::int64_t fence, const Wire::StartOrder& order, std::int64_t lease, int takes,
        Wire::RunEnd::type how, std::int64_t milliCores = 0)
    {
        if (!admit(fence))
            return "fence";
        hold(now, lease);
        if (isRunning(order.task, order.run))
            return {};
        int& stopped = m_stopped[taskKey(order.task)];
        if (order.run <= stopped)
            return "old";
        if (m_leaseUntil <= clock(now))
            return "late";
        stopped = order.run;
        m_records.push_back(RunRecord { order.task, order.run, now });
        m_running.emplace(runKey(order.task, order.run), Going { m_records.size() - 1, now + takes, how, milliCores });
        for (const std::pair<const RunKey, Going>& entry : m_running)
            m_records.back().milliCoresTaken += entry.second.milliCores;
        return {};
    }

    /// False when the fence is too low.
    bool stop(int now, std::int64_t fence, const Wire::TaskName& task, int run)
    {
        if (!admit(fence))
            return false;
        int& stopped = m_stopped[taskKey(task)];
        stopped = std::max(stopped, run);
        std::map<RunKey, Going>::iterator it = m_running.find(runKey(task, run));
        if (it == m_running.end())
            return true;
        end(now, it->second.record, Wire::RunEnd::Stopped);
        m_running.erase(it);
        return true;
    }

    /// Extends the lease and takes note that ends up to a number are remembered elsewhere. False when the fence is too
    /// low.
    bool renew(int now, std::int64_t fence, std::int64_t lease, std::int64_t acknowledged)
    {
        if (!admit(fence))
            return false;
        hold(now, lease);
        m_acknowledged = std::max(m_acknowledged, acknowledged);
        while (!m_ended.empty() && m_records[m_ended.front()].number <= acknowledged) {
            RunRecord& record = m_records[m_ended.front()];
            record.acknowledged = !record.lapsedUnacknowledged;
            m_ended.erase(m_ended.begin());
        }
        return true;
    }

    void tick(int now)
    {
        const bool lapses = m_leaseUntil > 0 && clock(now) >= m_leaseUntil;
        for (std::map<RunKey, Going>::iterator it = m_running.begin(); it != m_running.end();) {
            if (!lapses && now < it->second.until) {
                ++it;
                continue;
            }
            end(now, it->second.record, lapses ? Wire::RunEnd::Lapsed : it->second.how);
            it = m_running.erase(it);
        }
        for (std::size_t n = 0; lapses && n < m_ended.size(); ++n)
            m_records[m_ended[n]].lapsedUnacknowledged = true;
    }

    /// The process of the host dies: nothing that it knew will be listed.
    void crash(int now)
    {
        for (std::pair<const RunKey, Going>& entry : m_running)
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

    void list(Wire::HostReport& report) const
    {
        for (const std::pair<const RunKey, Going>& entry : m_running) {
            Wire::RunningTask row;
            row.task = m_records[entry.second.record].task;
            row.run = m_records[entry.second.record].run;
            report.running.push_back(row);
        }
        for (const std::size_t n : m_ended) {
            Wire::EndedTask row;
            row.number = m_records[n].number;
            row.task = m_records[n].task;
            row.run = m_records[n].run;
            row.how = m_records[n].how;
            report.ended.push_back(row);
        }
    }
    bool hasEnds() const { return !m_ended.empty(); }
    std::int64_t fence() const { return m_fence; }
    std::int64_t clock(int now) const { return now - m_bornAt; }

private:
    /// A run that goes on; its place in the records, when and how it will end by itself.
    struct Going {
        std::size_t record;
        int until;
        Wire::RunEnd::type how;
        std::int64_t milliCores;
    };

    /// The platform's longest lease.
    static constexpr std::int64_t longestLease = 10'000;

    static std::string taskKey(const Wire::TaskName& task)
    {
        return task.jobId + "." + std::to_string(task.occurrence) + "." + std::to_string(task.step) + "."
            + std::to_string(task.index);
    }
    bool admit(std::int64_t fence)
    {
        if (fence < m_fence)
            return false;
        m_fence = fence;
        return true;
    }
    void hold(int now, std::int64_t lease)
    {
        m_leaseUntil = std::max(m_leaseUntil, std::min(lease, clock(now) + longestLease));
    }
    void end(int now, std::size_t n, Wire::RunEnd::type how)
    {
        m_records[n].endedAt = now;
        m_records[n].how = how;
        m_records[n].number = ++m_lastNumber;
        if (m_lastNumber <= m_acknowledged)
            m_records[n].acknowledged = true;
        else
            m_ended.push_back(n);
    }

    std::string m_hostId;
    std::int64_t m_incarnation;
    std::vector<RunRecord>& m_records;
    int m_bornAt;
    std::int64_t m_fence = 0;
    std::int64_t m_leaseUntil = 0;
    std::int64_t m_lastNumber = 0;
    std::int64_t m_acknowledged = 0;
    std::map<RunKey, Going> m_running;
    std::vector<std::size_t> m_ended;
    /// Highest run that was started or stopped, by task.
    std::map<std::string, int> m_stopped;
};

} // namespace Plantainpier
