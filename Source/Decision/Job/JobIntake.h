/// Accepts, cancels and describes jobs for callers of an entry. A job is reported as accepted only after its record has
/// been read back from the log. Used by EntryCore.
#pragma once

#include "Decision/Job/JobStateMachine.h"
#include "Decision/Process/Membership.h"
#include "Decision/Version/BundleRegistry.h"

namespace Plantainpier {

/// The fields of POST /v1/jobs.
struct JobSubmission {
    JobRecord record;
    /// How long the caller waits for the record to be read back from the log.
    Duration timeout {};
};

/// Parses and validates the body of a job submission. The error names every invalid field by its JSON path.
Result<JobSubmission> parseJobSubmission(const std::string& text, const std::string& cell);

/// Handles submissions, cancellations and status requests. Lives for the process.
class JobIntake {
public:
    JobIntake(std::string cell, const Membership& membership, const BundleRegistry& bundles);

    void submit(Instant now, CallerToken caller, const JobSubmission& submission, const JobStateMachine& stateMachine,
        bool logUnavailable, Actions& actions);
    void cancel(Instant now, CallerToken caller, const std::string& jobId, const JobStateMachine& stateMachine,
        bool logUnavailable, Actions& actions);
    void replyWithJobStatus(
        CallerToken caller, const std::string& jobId, const JobStateMachine& stateMachine, Actions& actions) const;
    /// Called for every record that is read from the log; replies to the callers that wait for the record.
    void onRecord(const LogRecord& record, RecordEffect effect, const JobStateMachine& stateMachine, Actions& actions);
    void tick(Instant now, Actions& actions);
    /// Rejects new submissions from now on.
    void stopAccepting() { m_stoppedAccepting = true; }
    std::size_t waitingCallerCount() const { return m_waitingCallers.size(); }

private:
    enum class Kind {
        Submission,
        Cancellation,
    };
    struct WaitingCaller {
        CallerToken caller = 0;
        Kind kind = Kind::Submission;
        JobRecord record;
        Instant deadline;
    };

    ErrorCode checkSubmission(const JobRecord& record, bool logUnavailable) const;
    void reply(CallerToken caller, ErrorCode code, const std::string& text, Actions& actions) const;
    void replyAccepted(CallerToken caller, const JobRecord& submitted, const Job& job, Actions& actions) const;

    std::string m_cell;
    const Membership& m_membership;
    const BundleRegistry& m_bundles;
    std::multimap<std::string, WaitingCaller> m_waitingCallers;
    bool m_stoppedAccepting = false;
};

} // namespace Plantainpier
