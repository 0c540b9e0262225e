#include "Soak/RunAudit.h"

namespace Plantainpier {

using Guard = std::lock_guard<std::mutex>;

void RunAudit::breach(const std::string& rule, const SoakTask& task, const std::string& text)
{
    m_breaches.push_back(rule + ": " + task.text() + " " + text);
}

void RunAudit::report(const std::string& breach)
{
    const Guard guard(m_mutex);
    m_breaches.push_back(breach);
}

void RunAudit::onSubmit(const std::string& jobId, SoakJob job)
{
    const Guard guard(m_mutex);
    m_jobs[jobId].job = std::move(job);
}

void RunAudit::onAccepted(const std::string& jobId)
{
    const Guard guard(m_mutex);
    m_jobs[jobId].accepted = true;
}

void RunAudit::onRefusedForGood(const std::string& jobId)
{
    const Guard guard(m_mutex);
    JobRecord& job = m_jobs[jobId];
    job.refused = true;
    if (job.started)
        m_breaches.push_back("REFUSED: " + jobId + " was refused and its tasks had been started");
}

void RunAudit::onCancelAcknowledged(const std::string& jobId)
{
    const Guard guard(m_mutex);
    m_jobs[jobId].cancelled = true;
}

void RunAudit::onCompletedShown(const std::string& jobId)
{
    const Guard guard(m_mutex);
    JobRecord& job = m_jobs[jobId];
    job.closed = true;
    for (std::size_t step = 0; step < job.job.widths.size(); ++step) {
        for (int index = 0; index < job.job.widths[step]; ++index) {
            const SoakTask task { jobId, static_cast<int>(step), index };
            if (m_tasks[task].startedAfter.empty())
                breach("MIXED", task, "has not ended and its job is shown as completed");
        }
    }
}

void RunAudit::onStart(const std::string& host, const SoakTask& task, int run, const std::string& payload)
{
    const Guard guard(m_mutex);
    ++m_starts;
    std::map<std::string, JobRecord>::iterator it = m_jobs.find(task.jobId);
    if (it == m_jobs.end()) {
        breach("UNASKED", task, "belongs to no job that a client handed in");
        return;
    }
    JobRecord& job = it->second;
    job.started = true;
    if (payload != job.job.payload)
        breach("UNASKED", task, "was started with another payload");
    if (job.refused)
        breach("REFUSED", task, "was started and its job had been refused for good");
    for (int step = 0; step < task.step; ++step) {
        for (int index = 0; index < job.job.widths[static_cast<std::size_t>(step)]; ++index) {
            if (m_tasks[SoakTask { task.jobId, step, index }].startedAfter.empty())
                breach("ORDER", task, "was started before step " + std::to_string(step) + " had ended");
        }
    }
    TaskRecord& record = m_tasks[task];
    if (!record.running.empty())
        breach("TWICE", task,
            "run " + std::to_string(run) + " on " + host + " beside run "
                + std::to_string(record.running.begin()->second) + " on " + record.running.begin()->first);
    if (record.endAcknowledged)
        breach("TWICE", task, "was started after its end had been acknowledged");
    for (std::pair<const int, bool>& ended : record.startedAfter)
        ended.second = true;
    if (record.failuresAcknowledged >= maximumAttempts)
        breach("BUDGET", task, "was started after all its attempts had failed");
    record.running.insert({ host, run });
}

void RunAudit::onEnd(const std::string& host, const SoakTask& task, int run, const std::string& how)
{
    const Guard guard(m_mutex);
    TaskRecord& record = m_tasks[task];
    record.running.erase({ host, run });
    if (how == "done")
        record.startedAfter.emplace(run, false);
}

void RunAudit::onAcknowledged(const SoakTask& task, int run, const std::string& how)
{
    const Guard guard(m_mutex);
    TaskRecord& record = m_tasks[task];
    if (how == "failed")
        ++record.failuresAcknowledged;
    if (how != "done")
        return;
    if (record.startedAfter[run])
        breach("TWICE", task,
            "was started again after the end of run " + std::to_string(run) + ", which is acknowledged now");
    record.endAcknowledged = true;
}

void RunAudit::onHostGone(const std::string& host)
{
    const Guard guard(m_mutex);
    for (std::pair<const SoakTask, TaskRecord>& entry : m_tasks) {
        std::set<std::pair<std::string, int>>& running = entry.second.running;
        for (std::set<std::pair<std::string, int>>::iterator it = running.begin(); it != running.end();)
            it = it->first == host ? running.erase(it) : std::next(it);
    }
}

std::vector<std::string> RunAudit::breaches() const
{
    const Guard guard(m_mutex);
    return m_breaches;
}

std::size_t RunAudit::starts() const
{
    const Guard guard(m_mutex);
    return m_starts;
}

std::size_t RunAudit::accepted() const
{
    const Guard guard(m_mutex);
    std::size_t count = 0;
    for (const std::pair<const std::string, JobRecord>& entry : m_jobs)
        count += entry.second.accepted ? 1 : 0;
    return count;
}

std::vector<std::string> RunAudit::openJobs() const
{
    const Guard guard(m_mutex);
    std::vector<std::string> open;
    for (const std::pair<const std::string, JobRecord>& entry : m_jobs) {
        if (entry.second.accepted && !entry.second.cancelled && !entry.second.closed)
            open.push_back(entry.first);
    }
    return open;
}

std::vector<std::string> RunAudit::runsOfCancelledJobs() const
{
    const Guard guard(m_mutex);
    std::vector<std::string> runs;
    for (const std::pair<const SoakTask, TaskRecord>& entry : m_tasks) {
        std::map<std::string, JobRecord>::const_iterator it = m_jobs.find(entry.first.jobId);
        if (!entry.second.running.empty() && it != m_jobs.end() && it->second.cancelled)
            runs.push_back(entry.first.text());
    }
    return runs;
}

} // namespace Plantainpier
