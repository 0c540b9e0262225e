#include "Support/JobAnswerCheck.h"

namespace Plantainpier {

JobAnswerCheck::JobAnswerCheck(const std::vector<RunRecord>& records)
    : m_records(records)
    , m_waitingCall(makeCall(Wire::JobCallKind::Waiting, makeJob({}, {})))
{
}

void JobAnswerCheck::onSubmit(std::uint64_t number, const Wire::JobDefinition& job)
{
    Wire::JobCall& call = m_jobs[number].statusCall;
    call.kind = Wire::JobCallKind::Status;
    call.jobId = job.jobId;
    call.queue = job.queue;
    m_numbers[job.jobId] = number;
    m_openJobs.push_back(number);
}

void JobAnswerCheck::onAnswer(const AnswerJobCall& answer)
{
    const std::map<std::uint64_t, Job>::iterator it = m_jobs.find(answer.token);
    if (it == m_jobs.end() || it->second.accepted || answer.reply.kind != Wire::JobReplyKind::Accepted)
        return;
    it->second.accepted = true;
    m_acceptedNotBegun += it->second.begun ? 0 : 1;
}

void JobAnswerCheck::readRecords(const OwnerConditions& conditions)
{
    for (; m_readRecords < m_records.size(); ++m_readRecords) {
        const RunRecord& record = m_records[m_readRecords];
        Job& job = m_jobs.at(m_numbers.at(record.task.jobId));
        m_acceptedNotBegun -= job.accepted && !job.begun ? 1 : 0;
        job.begun = true;
        if (m_listedSince && !job.evidentSince)
            job.evidentSince = record.startedAt;
    }
    if (m_listedSince.has_value() == conditions.hasListedAllHosts)
        return;
    m_listedSince.reset();
    for (std::pair<const std::uint64_t, Job>& entry : m_jobs)
        entry.second.evidentSince.reset();
    if (!conditions.hasListedAllHosts)
        return;
    m_listedSince = conditions.now;
    for (const RunRecord& record : m_records) {
        if (record.endedAt < 0)
            m_jobs.at(m_numbers.at(record.task.jobId)).evidentSince = conditions.now;
    }
}

void JobAnswerCheck::changeTerm(std::int64_t term)
{
    for (std::pair<const std::uint64_t, Job>& entry : m_jobs) {
        Job& job = entry.second;
        const bool wasShown = job.shownRunningInTerm == m_term && m_term > 0;
        job.isStartStored = job.isStartStored || (wasShown && m_storeSteps - job.storeStepsWhenShown >= storingSteps);
    }
    m_term = term;
    m_storeSteps = 0;
}

Wire::JobReply JobAnswerCheck::ask(JobOwner& owner, int now, const Wire::JobCall& call) const
{
    Actions actions;
    owner.onCall(at(now), CallOrigin {}, call, actions);
    for (const Action& action : actions) {
        if (const AnswerJobCall* answer = std::get_if<AnswerJobCall>(&action))
            return answer->reply;
    }
    return {};
}

void JobAnswerCheck::check(JobOwner& owner, const OwnerConditions& conditions)
{
    if (conditions.term != m_term)
        changeTerm(conditions.term);
    m_storeSteps += conditions.isStoreAvailable ? 1 : 0;
    readRecords(conditions);
    const bool asksForStates = ++m_steps % stepsBetweenStates == 0;
    // No count is too low while every accepted job has begun.
    if (m_acceptedNotBegun == 0 && !asksForStates)
        return;
    const std::int64_t waiting = ask(owner, conditions.now, m_waitingCall).waiting;
    if (waiting < m_acceptedNotBegun)
        addViolation("too few jobs are said to wait", conditions.now,
            std::to_string(waiting) + " jobs are said to wait; no host has begun a task of "
                + std::to_string(m_acceptedNotBegun) + " accepted jobs");
    if (asksForStates)
        checkStates(owner, conditions, waiting);
}

void JobAnswerCheck::checkStates(JobOwner& owner, const OwnerConditions& conditions, std::int64_t waiting)
{
    std::int64_t queued = 0;
    std::erase_if(m_openJobs, [&](std::uint64_t number) {
        Job& job = m_jobs.at(number);
        const Wire::JobReply reply = ask(owner, conditions.now, job.statusCall);
        if (reply.kind == Wire::JobReplyKind::NoSuchJob && job.accepted)
            addViolation("an accepted job is not known", conditions.now, job.statusCall.jobId + " is not known");
        if (reply.kind != Wire::JobReplyKind::State)
            return reply.kind == Wire::JobReplyKind::NoSuchJob;
        checkState(job, reply.phase, conditions);
        queued += reply.phase == Wire::JobPhase::Queued ? 1 : 0;
        return reply.phase != Wire::JobPhase::Queued && reply.phase != Wire::JobPhase::Running;
    });
    if (waiting > queued)
        addViolation("more jobs are said to wait than are shown as queued", conditions.now,
            std::to_string(waiting) + " jobs are said to wait; " + std::to_string(queued) + " are shown as queued");
}

void JobAnswerCheck::checkState(Job& job, Wire::JobPhase::type phase, const OwnerConditions& conditions)
{
    const std::string& jobId = job.statusCall.jobId;
    if (phase != Wire::JobPhase::Queued) {
        if (!job.begun)
            addViolation("a job is shown as started too early", conditions.now,
                jobId + " is shown as started although no host has begun a task of it");
        if (job.shownRunningInTerm != m_term)
            job.storeStepsWhenShown = m_storeSteps;
        job.shownRunningInTerm = m_term;
        return;
    }
    if (job.shownRunningInTerm == m_term)
        addViolation("a job goes back to queued under one owner", conditions.now,
            jobId + " is shown as queued by the owner that showed it as running");
    else if (job.isStartStored)
        addViolation("a job goes back to queued under a later owner", conditions.now,
            jobId + " is shown as queued although an earlier owner had time to store its start");
    if (job.evidentSince && conditions.now - *job.evidentSince > maximumAgeMilliseconds)
        addViolation("a job is shown as queued too long", conditions.now,
            jobId + " is shown as queued although a listed host has run a task of it at "
                + std::to_string(*job.evidentSince));
}

void JobAnswerCheck::addViolation(const std::string& kind, int now, const std::string& text)
{
    Violation& violation = m_violations[kind];
    if (violation.count++ == 0)
        violation.first = std::to_string(now) + " ms: " + text;
}

std::vector<std::string> JobAnswerCheck::violations() const
{
    std::vector<std::string> violations;
    for (const std::pair<const std::string, Violation>& entry : m_violations)
        violations.push_back(
            entry.first + ", " + std::to_string(entry.second.count) + " times, first at " + entry.second.first);
    return violations;
}

} // namespace Plantainpier
