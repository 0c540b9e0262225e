/// Compares what an owner answers to clients, the count of waiting jobs and the states of jobs, with the runs that
/// hosts carried out. Used by RunHistoryTest and OrderSimulation.
#pragma once

#include "Support/JobFixture.h"
#include "Support/VirtualHost.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Plantainpier {

/// What holds for the newest owner at one step of a history. Times are in milliseconds since the start of the history.
struct OwnerConditions {
    int now = 0;
    std::int64_t term = 0;
    bool isStoreAvailable = false;
    /// All faults are over, and the owner has listed every host.
    bool hasListedAllHosts = false;
};

/// Asks the newest owner about the jobs of one history. Asking has no effect on the owner.
class JobAnswerCheck {
public:
    explicit JobAnswerCheck(const std::vector<RunRecord>& records);

    /// The number of a job is the id of the call that submitted it.
    void onSubmit(std::uint64_t number, const Wire::JobDefinition& job);
    /// An owner has answered the submission of a job.
    void onAnswer(const AnswerJobCall& answer);
    /// Asks the owner and checks its answers. To be called at every step at which the newest owner acts.
    void check(JobOwner& owner, const OwnerConditions& conditions);
    /// One sentence for each kind of violation.
    std::vector<std::string> violations() const;

private:
    /// Age that the answers may have.
    static constexpr int maximumAgeMilliseconds = 2000;
    /// An owner that has acted at this number of steps with the store available has stored that a job has started. They
    /// last 1 s.
    static constexpr int storingSteps = 200;
    /// The owner is asked for the states of jobs after this number of steps, and for the count at every step that may
    /// show too low a count.
    static constexpr int stepsBetweenStates = 10;

    struct Job {
        Wire::JobCall statusCall;
        bool accepted = false;
        /// A host has begun a task of the job.
        bool begun = false;
        /// Since when the owner that has listed all hosts can know from a host that the job has begun.
        std::optional<int> evidentSince;
        /// Term of the newest owner that showed the job as running; 0 for none.
        std::int64_t shownRunningInTerm = 0;
        /// Value of m_storeSteps when that owner first showed the job as running.
        int storeStepsWhenShown = 0;
        bool isStartStored = false;
    };
    struct Violation {
        int count = 0;
        /// The first one, in words.
        std::string first;
    };

    void readRecords(const OwnerConditions& conditions);
    void changeTerm(std::int64_t term);
    void checkStates(JobOwner& owner, const OwnerConditions& conditions, std::int64_t waiting);
    Wire::JobReply ask(JobOwner& owner, int now, const Wire::JobCall& call) const;
    void checkState(Job& job, Wire::JobPhase::type phase, const OwnerConditions& conditions);
    void addViolation(const std::string& kind, int now, const std::string& text);

    const std::vector<RunRecord>& m_records;
    std::size_t m_readRecords = 0;
    /// Since when the newest owner has listed all hosts.
    std::optional<int> m_listedSince;
    std::int64_t m_term = 0;
    int m_steps = 0;
    /// Steps at which the newest owner has acted with the store available.
    int m_storeSteps = 0;
    std::map<std::uint64_t, Job> m_jobs;
    std::map<std::string, std::uint64_t> m_numbers;
    /// Accepted jobs of which no host has begun a task.
    int m_acceptedNotBegun = 0;
    /// Numbers of the jobs that are not known to have ended.
    std::vector<std::uint64_t> m_openJobs;
    Wire::JobCall m_waitingCall;
    std::map<std::string, Violation> m_violations;
};

} // namespace Plantainpier
