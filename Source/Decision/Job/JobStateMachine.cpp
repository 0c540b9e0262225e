#include "Decision/Job/JobStateMachine.h"

#include "Base/NameTable.h"

namespace Plantainpier {

namespace {

    /// Number of attempts failed by the task itself after which the job counts as failed.
    constexpr int maximumFailures = 3;

    constexpr std::array jobStatusTable {
        NamedValue { JobStatus::Queued, "queued" },
        NamedValue { JobStatus::Running, "running" },
        NamedValue { JobStatus::Completed, "completed" },
        NamedValue { JobStatus::Failed, "failed" },
        NamedValue { JobStatus::Cancelled, "cancelled" },
    };

    JobStatus statusAfter(const Job& job, AttemptEnd end)
    {
        if (end == AttemptEnd::Completed)
            return JobStatus::Completed;
        if (job.cancelRequested)
            return JobStatus::Cancelled;
        return job.failures >= maximumFailures ? JobStatus::Failed : JobStatus::Queued;
    }

} // namespace

std::string_view name(JobStatus status) { return nameIn(jobStatusTable, status); }

JobStateMachine::JobStateMachine(std::string cell)
    : m_cell(std::move(cell))
{
}

RecordEffect JobStateMachine::apply(const LogRecord& record)
{
    return std::visit([this](const auto& kind) { return applyRecord(kind); }, record);
}

const Job* JobStateMachine::find(const std::string& jobId) const
{
    std::map<std::string, Job>::const_iterator it = m_jobs.find(jobId);
    return it == m_jobs.end() ? nullptr : &it->second;
}

Wire::Resources JobStateMachine::usageOf(const std::string& team) const
{
    std::unordered_map<std::string, Wire::Resources>::const_iterator it = m_usageByTeam.find(team);
    return it == m_usageByTeam.end() ? Wire::Resources() : it->second;
}

bool JobStateMachine::isCurrent(const std::string& cell, std::int64_t term) const
{
    return cell == m_cell && term == m_leader.term;
}

JobStateMachine::QueueKey JobStateMachine::keyOf(const Job& job) const
{
    return { job.record.priority, job.sequence, job.record.jobId };
}

void JobStateMachine::enqueue(Job& job) { m_queue.insert(keyOf(job)); }

RecordEffect JobStateMachine::applyRecord(const JobRecord& record)
{
    if (record.cell != m_cell)
        return RecordEffect::None;
    if (m_jobs.contains(record.jobId))
        return RecordEffect::JobRepeated;
    Job& job = m_jobs[record.jobId];
    job.record = record;
    job.sequence = ++m_lastSequence;
    enqueue(job);
    return RecordEffect::JobAccepted;
}

RecordEffect JobStateMachine::applyRecord(const LeaderRecord& record)
{
    if (record.cell != m_cell || record.term <= m_leader.term)
        return RecordEffect::None;
    m_leader = Leader { record.term, record.entryId, record.incarnation };
    return RecordEffect::LeaderChanged;
}

RecordEffect JobStateMachine::applyRecord(const LeaderHeartbeatRecord& record) const
{
    return isCurrent(record.cell, record.term) ? RecordEffect::LeaderHeartbeat : RecordEffect::None;
}

RecordEffect JobStateMachine::applyRecord(const EntryStartedRecord&) const { return RecordEffect::EntryStarted; }

RecordEffect JobStateMachine::applyRecord(const BundleRecord&) const { return RecordEffect::None; }

RecordEffect JobStateMachine::applyRecord(const AttemptRecord& record)
{
    std::map<std::string, Job>::iterator it = m_jobs.find(record.jobId);
    if (!isCurrent(record.cell, record.term) || it == m_jobs.end())
        return RecordEffect::None;
    Job& job = it->second;
    if (job.status != JobStatus::Queued || record.attempt != job.attempt + 1)
        return RecordEffect::None;
    m_queue.erase(keyOf(job));
    m_runningJobIds.insert(record.jobId);
    m_usageByTeam[job.record.team] = plus(m_usageByTeam[job.record.team], job.record.demand);
    job.status = JobStatus::Running;
    job.attempt = record.attempt;
    job.sideId = record.sideId;
    return RecordEffect::AttemptRecorded;
}

RecordEffect JobStateMachine::applyRecord(const EndedRecord& record)
{
    std::map<std::string, Job>::iterator it = m_jobs.find(record.jobId);
    if (!isCurrent(record.cell, record.term) || it == m_jobs.end())
        return RecordEffect::None;
    Job& job = it->second;
    if (job.status != JobStatus::Running || record.attempt != job.attempt)
        return RecordEffect::None;
    m_runningJobIds.erase(record.jobId);
    m_usageByTeam[job.record.team] = minus(m_usageByTeam[job.record.team], job.record.demand);
    job.failures += record.end == AttemptEnd::Failed ? 1 : 0;
    if (!record.checkpoint.empty())
        job.checkpoint = record.checkpoint;
    job.result = record.result;
    job.status = statusAfter(job, record.end);
    if (job.status == JobStatus::Queued)
        enqueue(job);
    return RecordEffect::AttemptEnded;
}

RecordEffect JobStateMachine::applyRecord(const CancelRecord& record)
{
    std::map<std::string, Job>::iterator it = m_jobs.find(record.jobId);
    if (record.cell != m_cell || it == m_jobs.end())
        return RecordEffect::None;
    Job& job = it->second;
    job.cancelRequested = true;
    if (job.status == JobStatus::Queued) {
        m_queue.erase(keyOf(job));
        job.status = JobStatus::Cancelled;
    }
    return RecordEffect::CancelRecorded;
}

} // namespace Plantainpier
