#include "Decision/Job/JobIntake.h"

#include "Base/LogLine.h"

namespace Plantainpier {

namespace {

    constexpr std::size_t maximumNameBytes = 256;
    constexpr std::size_t maximumPayloadBytes = 64U << 10;
    constexpr std::int64_t maximumMilliProcessors = 10'000'000;
    constexpr std::int64_t maximumMemoryMegabytes = 100'000'000;
    constexpr std::int64_t maximumAccelerators = 1'000;
    constexpr std::int64_t longestRunMilliseconds = 30LL * 24 * 3600 * 1000;
    constexpr std::int64_t longestWaitMilliseconds = 600'000;
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

    bool isSameJob(const JobRecord& a, const JobRecord& b)
    {
        return a.team == b.team && a.priority == b.priority && a.demand == b.demand && a.payload == b.payload
            && a.declaredMilliseconds == b.declaredMilliseconds;
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
    record.declaredMilliseconds = reader.optionalInteger("declared_ms", 0, longestRunMilliseconds, 0);
    record.payload = reader.optionalString("payload", maximumPayloadBytes, "");
    submission.deadline
        = milliseconds(reader.optionalInteger("deadline_ms", 1, longestWaitMilliseconds, defaultWaitMilliseconds));
    reader.finish();
    if (!reader.faults().empty())
        return joinFaults(reader.faults());
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

void JobIntake::replyAccepted(CallerToken caller, const JobRecord& wanted, const Job& job, Actions& actions) const
{
    if (!isSameJob(wanted, job.record)) {
        reply(caller, ErrorCode::KeyReused, "another job was accepted under this id", actions);
        return;
    }
    Json body = describeJob(job);
    body["accepted"] = true;
    actions.push_back(ReplyToCaller { caller, ErrorCode::Ok, body.dump(), {} });
}

ErrorCode JobIntake::refusalOf(const JobRecord& record, bool logAway) const
{
    if (m_leaving)
        return ErrorCode::Leaving;
    if (!m_bundles.current())
        return ErrorCode::NoBundle;
    if (logAway)
        return ErrorCode::LogUnavailable;
    // While no host is known nothing can be said about size.
    bool fitsSomewhere = m_membership.sides().empty();
    for (const std::pair<const std::string, SideView>& entry : m_membership.sides())
        fitsSomewhere |= fits(record.demand, percentOf(entry.second.capacity, m_bundles.current()->batchPercent()));
    return fitsSomewhere ? ErrorCode::Ok : ErrorCode::JobNeverFits;
}

void JobIntake::submit(Instant now, CallerToken caller, const JobSubmission& submission, const JobStateMachine& book,
    bool logAway, Actions& actions)
{
    const JobRecord& record = submission.record;
    const Job* known = book.find(record.jobId);
    if (known) {
        replyAccepted(caller, record, *known, actions);
        return;
    }
    const ErrorCode refusal = refusalOf(record, logAway);
    LogLine line("job_intake");
    line.add("job", record.jobId).add("team", record.team).add("decision", name(refusal));
    actions.push_back(WriteLog { line.add("bundle", m_bundles.version()).text() });
    if (refusal != ErrorCode::Ok) {
        const std::string text = refusal == ErrorCode::LogUnavailable
            ? "not accepted: the log service is away; nothing was recorded"
            : "not accepted: " + std::string(errorCodeRow(refusal).meaning);
        reply(caller, refusal, text, actions);
        return;
    }
    m_waiting.emplace(record.jobId, Waiting { caller, Kind::Submission, record, now + submission.deadline });
    actions.push_back(AppendRecords { { record } });
}

void JobIntake::cancel(Instant now, CallerToken caller, const std::string& jobId, const JobStateMachine& book,
    bool logAway, Actions& actions)
{
    const Job* job = book.find(jobId);
    if (!job) {
        reply(caller, ErrorCode::JobUnknown, "no job has the id " + jobId, actions);
        return;
    }
    if (logAway) {
        reply(caller, ErrorCode::LogUnavailable, "not cancelled: the log service is away", actions);
        return;
    }
    if (job->cancelRequested) {
        describe(caller, jobId, book, actions);
        return;
    }
    const Instant until = now + milliseconds(defaultWaitMilliseconds);
    m_waiting.emplace(jobId, Waiting { caller, Kind::Cancellation, job->record, until });
    actions.push_back(AppendRecords { { CancelRecord { m_cell, jobId } } });
}

void JobIntake::describe(
    CallerToken caller, const std::string& jobId, const JobStateMachine& book, Actions& actions) const
{
    const Job* job = book.find(jobId);
    if (job)
        actions.push_back(ReplyToCaller { caller, ErrorCode::Ok, describeJob(*job).dump(), {} });
    else
        reply(caller, ErrorCode::JobUnknown, "no job has the id " + jobId, actions);
}

void JobIntake::onRecord(const LogRecord& record, RecordEffect effect, const JobStateMachine& book, Actions& actions)
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
    using Iterator = std::multimap<std::string, Waiting>::iterator;
    const std::pair<Iterator, Iterator> range = m_waiting.equal_range(jobId);
    for (Iterator it = range.first; it != range.second;) {
        if (it->second.kind != kind) {
            ++it;
            continue;
        }
        if (kind == Kind::Submission)
            replyAccepted(it->second.caller, it->second.record, *book.find(jobId), actions);
        else
            describe(it->second.caller, jobId, book, actions);
        it = m_waiting.erase(it);
    }
}

void JobIntake::tick(Instant now, Actions& actions)
{
    for (std::multimap<std::string, Waiting>::iterator it = m_waiting.begin(); it != m_waiting.end();) {
        if (now < it->second.until) {
            ++it;
            continue;
        }
        reply(it->second.caller, ErrorCode::LogUnavailable,
            "not confirmed in time: it may still take effect; sending it again under the same id is safe", actions);
        it = m_waiting.erase(it);
    }
}

} // namespace Plantainpier
