/// What the owner knows of one job: its steps, the runs of each task, and what is known for good.
#pragma once

#include "Base/Time.h"
#include "Wire/Generated/plantainpier_types.h"

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace Plantainpier {

/// Run numbers of a task that one term may use: a later owner does not know which its predecessor used.
constexpr int runNumbersOfATerm = 64;

/// One run of a task on one incarnation of a host.
struct RunPlace {
    std::string hostId;
    std::int64_t incarnation = 0;
    int run = 0;
    Instant since;
};

/// One task. It waits while it is not completed and has no run.
struct TaskState {
    bool completed = false;
    /// Run numbers that failed; each counts once, however often its end is listed.
    std::vector<int> failedRuns;
    /// The highest run number used so far.
    int lastRun = 0;
    std::string checkpoint;
    std::vector<RunPlace> runs;
    Instant waitingSince;
    /// Its last run was given up because the lease was over: how it ended has not been heard.
    bool endUnheard = false;
    /// Not before this, after a failure of the task itself.
    Instant notBefore;

    bool isWaiting() const { return !completed && runs.empty(); }
    bool hasFailed(int run) const { return std::find(failedRuns.begin(), failedRuns.end(), run) != failedRuns.end(); }
};

/// One step of one occurrence.
struct StepState {
    int occurrence = 0;
    int step = 0;
    std::vector<TaskState> tasks;
    int completed = 0;
    int waiting = 0;
    /// All steps that it comes after are completed.
    bool open = false;
    /// When the whole occurrence should be completed.
    Instant due;
    /// Longest chain of estimates from the start of this step to the end of the occurrence.
    Duration remainingChain {};
};

/// A job from its acceptance until it is forgotten. Used by JobOwner only.
class JobState {
public:
    JobState(Wire::JobDefinition definition, Instant accepted, std::int64_t acceptedUnixMilliseconds);

    const Wire::JobDefinition& definition() const { return m_definition; }
    const Wire::StepDefinition& stepDefinition(const StepState& step) const
    {
        return m_definition.steps[static_cast<std::size_t>(step.step)];
    }
    Wire::JobOutcome::type outcome() const { return m_outcome; }
    void setOutcome(Wire::JobOutcome::type outcome) { m_outcome = outcome; }
    bool isOpen() const { return m_outcome == Wire::JobOutcome::Open; }
    bool hasStarted() const { return m_started; }
    void setStarted() { m_started = true; }
    Instant accepted() const { return m_accepted; }

    /// Adds the occurrences whose time has come. True when there are new ones.
    bool addDueOccurrences(Instant now, std::int64_t unixMilliseconds);
    /// Adds the occurrences up to this one: an earlier owner has seen it due, by a clock that may have been ahead.
    void addOccurrencesUpTo(Instant now, int occurrence);
    std::vector<StepState>& steps() { return m_steps; }
    const std::vector<StepState>& steps() const { return m_steps; }
    StepState* findStep(int occurrence, int step);
    TaskState* findTask(const Wire::TaskName& name);
    /// Marks a task as completed and opens the steps that come after; for a gang, all its tasks.
    void complete(Instant now, StepState& step, std::size_t index);
    /// The runs of the task are over; it waits for its next one.
    void await(Instant now, StepState& step, TaskState& task);
    /// Every task of every occurrence is completed.
    bool isCompleted() const;
    /// Failed attempts of a task; the members of a gang share theirs, whichever of them failed.
    int failedAttempts(const StepState& step, const TaskState& task) const;
    /// Failed runs of all its tasks.
    std::size_t failedRuns() const;
    /// Work in thousandths of a core times seconds, for all tasks of all steps.
    double workCoreSeconds() const { return m_workCoreSeconds; }
    /// Longest chain of estimates of one occurrence.
    Duration chain() const { return m_chain; }
    /// When the first occurrence should be completed.
    Instant due() const { return m_due; }

    Wire::JobProgress progress() const;
    /// Takes over what an earlier owner has stored. Call before anything is placed.
    void restore(Instant now, const Wire::JobProgress& progress, std::int64_t unixMilliseconds);

    /// Ticket of the newest progress record handed to the journal.
    std::uint64_t progressTicket = 0;

private:
    void addOccurrence(Instant now, int occurrence, Instant due);
    void openSteps(Instant now, int occurrence);

    Wire::JobDefinition m_definition;
    Wire::JobOutcome::type m_outcome = Wire::JobOutcome::Open;
    bool m_started = false;
    Instant m_accepted;
    std::int64_t m_acceptedUnixMilliseconds;
    int m_occurrencesAdded = 0;
    std::vector<StepState> m_steps;
    std::vector<Duration> m_remainingChains;
    Duration m_chain {};
    Instant m_due;
    double m_workCoreSeconds = 0;
};

} // namespace Plantainpier
