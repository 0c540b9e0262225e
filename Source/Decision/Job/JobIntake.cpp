#include "Decision/Job/JobIntake.h"

#include "Base/LogLine.h"

namespace Plantainpier {

namespace {

    constexpr std::size_t maximumNameBytes = 256;
    constexpr std::size_t maximumPayloadBytes = 64U << 10;
    constexpr std::int64_t maximumMilliProcessors = 10'000'000;
    constexpr std::int64_t maximumMemoryMegabytes = 100'000'000;
    constexpr std::int64_t maximumAccelerators = 1'000;
    constexpr std::int64_t maximumRunMilliseconds = 30LL * 24 * 3600 * 1000;
    constexpr std::int64_t maximumWaitMilliseconds = 600'000;
    constexpr std::int64_t defaultWaitMilliseconds = 5'000;
    constexpr int defaultPriority = 5;

    Json describeJob(const Job& job)
    {
        Json json { { "job", job.record.jobId }, { "status", name(job.status) }, { "team", job.record.team },
            { "priority", job.record.priority }, { "attempts", job.attempt }, { "failures", job.failures } };
        if (!job.sideId.empty())
            json["side"] = job.sideId;
        if (!job.result.empty())
            json["result"] = job.result;
        if (!job.checkpoint.empty())
            json["checkpoint"] = job.checkpoint;
        return json;
    }

    bool hasSameContent(const JobRecord& a, const JobRecord& b)
    {
        return a.team == b.team && a.priority == b.priority && a.demand == b.demand && a.payload == b.payload
            && a.declaredRunMilliseconds == b.declaredRunMilliseconds;
    }

} // namespace

Result<JobSubmission> parseJobSubmission(const std::string& text, const std::string& cell)
{
    const Result<Json> parsed = parseJsonObject(text);
    if (!isOk(parsed))
        return errorOf(parsed);
    JsonReader reader(valueOf(parsed), "");
    JobSubmission submission;
    JobRecord& record = submission.record;
    record.cell = cell;
    record.jobId = reader.requiredString("job", maximumNameBytes);
    record.team = reader.requiredString("team", maximumNameBytes);
    record.priority = static_cast<int>(reader.optionalInteger("priority", 0, 9, defaultPriority));
    record.demand.milliProcessors = reader.requiredInteger("milli_processors", 1, maximumMilliProcessors);
    record.demand.memoryMegabytes = reader.requiredInteger("memory_mb", 1, maximumMemoryMegabytes);
    record.demand.accelerators
        = static_cast<std::int32_t>(reader.optionalInteger("accelerators", 0, maximumAccelerators, 0));
    record.declaredRunMilliseconds = reader.optionalInteger("declared_ms", 0, maximumRunMilliseconds, 0);
    record.payload = reader.optionalString("payload", maximumPayloadBytes, "");
    submission.timeout
        = milliseconds(reader.optionalInteger("deadline_ms", 1, maximumWaitMilliseconds, defaultWaitMilliseconds));
    reader.rejectUnknownFields();
    if (!reader.errors().empty())
        return joinErrors(reader.errors());
    return submission;
}

JobIntake::JobIntake(std::string cell, const Membership& membership, const BundleRegistry& bundles)
    : m_cell(std::move(cell))
    , m_membership(membership)
    , m_bundles(bundles)
{
}

void JobIntake::reply(CallerToken caller, ErrorCode code, const std::string& text, Actions& actions) const
{
    const Json body { { "code", static_cast<int>(code) }, { "reason", name(code) }, { "text", text } };
    actions.push_back(ReplyToCaller { caller, code, body.dump(), {} });
}

void JobIntake::replyAccepted(CallerToken caller, const JobRecord& submitted, const Job& job, Actions& actions) const
{
    if (!hasSameContent(submitted, job.record)) {
        reply(caller, ErrorCode::KeyReused, "this job id is already used by a different job", actions);
        return;
    }
    Json body = describeJob(job);
    body["accepted"] = true;
    actions.push_back(ReplyToCaller { caller, ErrorCode::Ok, body.dump(), {} });
}

ErrorCode JobIntake::checkSubmission(const JobRecord& record, bool logUnavailable) const
{
    if (m_stoppedAccepting)
        return ErrorCode::Leaving;
    if (!m_bundles.current())
        return ErrorCode::NoBundle;
    if (logUnavailable)
        return ErrorCode::LogUnavailable;
    // Without any known host, a job cannot be rejected for its size.
    bool fitsSomewhere = m_membership.sides().empty();
    for (const std::pair<const std::string, SideView>& entry : m_membership.sides())
        fitsSomewhere |= fits(record.demand, percentOf(entry.second.capacity, m_bundles.current()->batchPercent()));
    return fitsSomewhere ? ErrorCode::Ok : ErrorCode::JobNeverFits;
}

void JobIntake::submit(Instant now, CallerToken caller, const JobSubmission& submission,
    const JobStateMachine& stateMachine, bool logUnavailable, Actions& actions)
{
    const JobRecord& record = submission.record;
    const Job* existing = stateMachine.find(record.jobId);
    if (existing) {
        replyAccepted(caller, record, *existing, actions);
        return;
    }
    const ErrorCode result = checkSubmission(record, logUnavailable);
    LogLine line("job_intake");
    line.add("job", record.jobId).add("team", record.team).add("decision", name(result));
    actions.push_back(WriteLog { line.add("bundle", m_bundles.version()).text() });
    if (result != ErrorCode::Ok) {
        const std::string text = result == ErrorCode::LogUnavailable
            ? "job not accepted: the log service is unavailable; nothing was recorded"
            : "job not accepted: " + std::string(errorCodeRow(result).meaning);
        reply(caller, result, text, actions);
        return;
    }
    m_waitingCallers.emplace(
        record.jobId, WaitingCaller { caller, Kind::Submission, record, now + submission.timeout });
    actions.push_back(AppendRecords { { record } });
}

void JobIntake::cancel(Instant now, CallerToken caller, const std::string& jobId, const JobStateMachine& stateMachine,
    bool logUnavailable, Actions& actions)
{
    const Job* job = stateMachine.find(jobId);
    if (!job) {
        reply(caller, ErrorCode::JobUnknown, "no job with the id " + jobId, actions);
        return;
    }
    if (logUnavailable) {
        reply(caller, ErrorCode::LogUnavailable, "job not cancelled: the log service is unavailable", actions);
        return;
    }
    if (job->cancelRequested) {
        replyWithJobStatus(caller, jobId, stateMachine, actions);
        return;
    }
    const Instant deadline = now + milliseconds(defaultWaitMilliseconds);
    m_waitingCallers.emplace(jobId, WaitingCaller { caller, Kind::Cancellation, job->record, deadline });
    actions.push_back(AppendRecords { { CancelRecord { m_cell, jobId } } });
}

void JobIntake::replyWithJobStatus(
    CallerToken caller, const std::string& jobId, const JobStateMachine& stateMachine, Actions& actions) const
{
    const Job* job = stateMachine.find(jobId);
    if (job)
        actions.push_back(ReplyToCaller { caller, ErrorCode::Ok, describeJob(*job).dump(), {} });
    else
        reply(caller, ErrorCode::JobUnknown, "no job with the id " + jobId, actions);
}

void JobIntake::onRecord(
    const LogRecord& record, RecordEffect effect, const JobStateMachine& stateMachine, Actions& actions)
{
    std::string jobId;
    Kind kind = Kind::Submission;
    if (effect == RecordEffect::JobAccepted || effect == RecordEffect::JobRepeated) {
        jobId = std::get<JobRecord>(record).jobId;
    } else if (effect == RecordEffect::CancelRecorded) {
        jobId = std::get<CancelRecord>(record).jobId;
        kind = Kind::Cancellation;
    } else {
        return;
    }
    using Iterator = std::multimap<std::string, WaitingCaller>::iterator;
    const std::pair<Iterator, Iterator> range = m_waitingCallers.equal_range(jobId);
    for (Iterator it = range.first; it != range.second;) {
        if (it->second.kind != kind) {
            ++it;
            continue;
        }
        if (kind == Kind::Submission)
            replyAccepted(it->second.caller, it->second.record, *stateMachine.find(jobId), actions);
        else
            replyWithJobStatus(it->second.caller, jobId, stateMachine, actions);
        it = m_waitingCallers.erase(it);
    }
}

void JobIntake::tick(Instant now, Actions& actions)
{
    for (std::multimap<std::string, WaitingCaller>::iterator it = m_waitingCallers.begin();
         it != m_waitingCallers.end();) {
        if (now < it->second.deadline) {
            ++it;
            continue;
        }
        reply(it->second.caller, ErrorCode::LogUnavailable,
            "not confirmed in time: the request may still take effect; sending it again with the same job id is safe",
            actions);
        it = m_waitingCallers.erase(it);
    }
}

} // namespace Plantainpier
