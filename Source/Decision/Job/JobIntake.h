/// Where an entry takes jobs in: "accepted" is only said once the job's record has been read back from the log.
#pragma once

#include "Decision/Job/JobStateMachine.h"
#include "Decision/Process/Membership.h"
#include "Decision/Version/BundleRegistry.h"

namespace Plantainpier {

/// The fields of POST /v1/jobs.
struct JobSubmission {
    JobRecord record;
    /// How long the caller waits for the log.
    Duration deadline {};
};

/// Checks and reads a job body; every fault is named with its JSON path.
Result<JobSubmission> parseJobSubmission(const std::string& text, const std::string& cell);

/// Callers that wait for records of theirs to be read back. Lives for the process.
class JobIntake {
public:
    JobIntake(std::string cell, const Membership& membership, const BundleRegistry& bundles);

    void submit(Instant now, CallerToken caller, const JobSubmission& submission, const JobStateMachine& book,
        bool logAway, Actions& actions);
    void cancel(Instant now, CallerToken caller, const std::string& jobId, const JobStateMachine& book, bool logAway,
        Actions& actions);
    void describe(CallerToken caller, const std::string& jobId, const JobStateMachine& book, Actions& actions) const;
    /// A record was read: answers the callers that wait for it.
    void onRecord(const LogRecord& record, RecordEffect effect, const JobStateMachine& book, Actions& actions);
    void tick(Instant now, Actions& actions);
    void leave() { m_leaving = true; }
    std::size_t waiting() const { return m_waiting.size(); }

private:
    enum class Kind {
        Submission,
        Cancellation,
    };
    struct Waiting {
        CallerToken caller = 0;
        Kind kind = Kind::Submission;
        JobRecord record;
        Instant until;
    };

    ErrorCode refusalOf(const JobRecord& record, bool logAway) const;
    void reply(CallerToken caller, ErrorCode code, const std::string& text, Actions& actions) const;
    void replyAccepted(CallerToken caller, const JobRecord& wanted, const Job& job, Actions& actions) const;

    std::string m_cell;
    const Membership& m_membership;
    const BundleRegistry& m_bundles;
    std::multimap<std::string, Waiting> m_waiting;
    bool m_leaving = false;
};

} // namespace Plantainpier
