/// State of one job on its owner: the occurrences, steps and tasks with their runs, and the progress to be persisted.
#pragma once

#include "Base/Time.h"
#include "Decision/Job/RunFate.h"
#include "Wire/Generated/plantainpier_types.h"

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Plantainpier {

/// Number of run numbers reserved for each term of a task. A later owner has no record of which numbers were used, so
/// no term assigns a number beyond its own.
constexpr int runNumbersPerTerm = 1 << 16;
/// Highest run number, which leaves room for 16,383 terms after the one in which a job was accepted.
constexpr int maximumRunNumber = 1 << 30;

/// One run of a task. The host and the number together identify it: a number that an owner assigns may still be listed
/// on a host that an earlier owner used.
struct RunPlace {
    /// Without the incarnation, since a run whose start is unconfirmed may start on a later one.
    std::string hostId;
    int run = 0;
    Instant placedAt;
};

/// The run that a task had last, once it no longer counts.
struct FormerRun {
    std::string hostId;
    int run = 0;
    RunFate fate = RunFate::None;
};

/// One task. A task is waiting while it is not completed and has no run.
struct TaskState {
    bool completed = false;
    /// Numbers of the failed runs. Each counts once, even if its end is listed repeatedly.
    std::vector<int> failedRuns;
    /// The highest run number used so far.
    int lastRun = 0;
    std::string checkpoint;
    std::vector<RunPlace> runs;
    FormerRun formerRun;
    Instant waitingSince;
    /// The last run was abandoned when its host's lease expired, and its end has not been reported.
    bool lastEndUnknown = false;
    /// Earliest time of the next start, after a failed run or a refused start.
    Instant notBefore;

    bool isWaiting() const { return !completed && runs.empty(); }
    bool hasFailed(int run) const { return std::find(failedRuns.begin(), failedRuns.end(), run) != failedRuns.end(); }
};

/// One step of one occurrence.
struct StepState {
    int occurrence = 0;
    int step = 0;
    std::vector<TaskState> tasks;
    int completedTasks = 0;
    int waitingTasks = 0;
    /// All steps that this step depends on are completed.
    bool open = false;
    /// Target completion time of the whole occurrence.
    Instant due;
    /// Sum of estimates along the critical path from the start of this step to the end of the occurrence.
    Duration remainingCriticalPath {};
    /// When the step became open or this term began, and when the newest of its confirmed starts was ordered.
    Instant openedAt;
    Instant lastStartedAt;
    /// The gang was started over several racks although its step asks for one.
    bool isSpread = false;
    /// Number of runs of this term whose start was confirmed.
    int startedRuns = 0;
    /// For each waiting task for which less urgent runs were stopped: until when these are expected to end.
    std::vector<Instant> roomExpectedUntil;
};

/// A part of a job's progress: one record in the store, whose size is limited. Part 0 has the outcome.
struct ProgressPart {
    int number = 0;
    Wire::JobProgress progress;
};

/// Number of tasks, over all steps and occurrences of a job, whose progress one record holds. A task takes some 15
/// bytes and its checkpoint.
constexpr std::int64_t tasksPerProgressPart = 500;

/// A job from its acceptance until its removal. Used by JobOwner and the owner's components.
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
    /// A host has shown that a task of the job started; see RunTracker::recordStart(). Stays true when the run is lost.
    bool hasStarted() const { return m_started; }
    void recordStart() { m_started = true; }
    /// A start of one of its tasks is ordered, or a task runs.
    bool hasRuns() const;
    Instant accepted() const { return m_accepted; }

    /// Adds the occurrences that are due. Returns true if any were added.
    bool addDueOccurrences(Instant now, std::int64_t unixMilliseconds);
    /// Adds the occurrences up to this one. An earlier owner, whose clock may have been ahead, has seen it due.
    void addOccurrencesUpTo(Instant now, int occurrence);
    std::vector<StepState>& steps() { return m_steps; }
    const std::vector<StepState>& steps() const { return m_steps; }
    StepState* findStep(int occurrence, int step);
    TaskState* findTask(const Wire::TaskName& name);
    /// Marks a task, or all tasks of a gang, as completed and opens the steps that this allows to start.
    void completeTask(Instant now, StepState& step, std::size_t index);
    /// Counts a failed run of the task.
    void recordFailure(const StepState& step, TaskState& task, int run);
    void setCheckpoint(const StepState& step, TaskState& task, const std::string& checkpoint);
    /// Returns the task to waiting if no run of it is left.
    void markWaiting(Instant now, StepState& step, TaskState& task);
    /// All tasks of all occurrences are completed.
    bool isCompleted() const;
    /// Number of failed attempts of a task. A gang fails as a whole: its members share one count.
    int failedAttempts(const StepState& step, const TaskState& task) const;
    /// Number of failed runs of all tasks.
    std::size_t failedRuns() const;
    /// Work of one occurrence in core-seconds, over all tasks of all steps.
    double workCoreSeconds() const { return m_workCoreSeconds; }
    /// Sum of estimates along the critical path of one occurrence.
    Duration criticalPath() const { return m_criticalPath; }
    /// Target completion time of the first occurrence.
    Instant due() const { return m_due; }

    /// Returns the parts of the progress that have changed since the last call. Part 0 is always the last one, so that
    /// an outcome is not stored before the ends that it follows from.
    std::vector<ProgressPart> takeChangedProgress();
    /// The parts other than part 0 that may be in the store.
    const std::set<int>& storedParts() const { return m_storedParts; }
    /// Restores the progress that an earlier owner persisted, with the marks of all parts. storedParts: the parts other
    /// than part 0 that were read. Call before any task is placed.
    void restoreProgress(Instant now, const Wire::JobProgress& progress, const std::set<int>& storedParts,
        std::int64_t unixMilliseconds);

    /// Sequence number of the newest write of the job's progress.
    std::uint64_t progressSequenceNumber = 0;

private:
    void addOccurrence(Instant now, int occurrence, Instant due);
    void openSteps(Instant now, int occurrence);
    int progressPart(int occurrence, int step, std::int64_t index) const;
    Wire::JobProgress makeProgress(int part) const;

    Wire::JobDefinition m_definition;
    /// By step: number of tasks of the steps before it. The last element is the number of tasks of an occurrence.
    std::vector<std::int64_t> m_firstTasks;
    /// Parts other than part 0 with changes, and those that may be in the store.
    std::set<int> m_changedParts;
    std::set<int> m_storedParts;
    Wire::JobOutcome::type m_outcome = Wire::JobOutcome::Open;
    bool m_started = false;
    Instant m_accepted;
    std::int64_t m_acceptedUnixMilliseconds;
    int m_occurrencesAdded = 0;
    std::vector<StepState> m_steps;
    std::vector<Duration> m_remainingCriticalPaths;
    Duration m_criticalPath {};
    Instant m_due;
    double m_workCoreSeconds = 0;
};

} // namespace Plantainpier
