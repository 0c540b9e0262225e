#include "Decision/Job/JobState.h"

#include <algorithm>
#include <set>

namespace Plantainpier {

namespace {

    /// Length of the critical path from the start of each step to the end of the job. Steps depend on earlier steps
    /// only.
    std::vector<Duration> remainingCriticalPaths(const std::vector<Wire::StepDefinition>& steps)
    {
        std::vector<Duration> paths(steps.size());
        for (std::size_t n = steps.size(); n-- > 0;) {
            Duration longestSuccessor {};
            for (std::size_t later = n + 1; later < steps.size(); ++later) {
                const std::vector<std::int32_t>& after = steps[later].after;
                if (std::find(after.begin(), after.end(), static_cast<std::int32_t>(n)) != after.end())
                    longestSuccessor = std::max(longestSuccessor, paths[later]);
            }
            paths[n] = milliseconds(steps[n].estimateMilliseconds) + longestSuccessor;
        }
        return paths;
    }

    double coreSeconds(const Wire::StepDefinition& step)
    {
        // An accelerator counts as eight cores.
        constexpr double milliCoresPerAccelerator = 8000;
        const double milliCores = static_cast<double>(step.demand.milliProcessors)
            + milliCoresPerAccelerator * static_cast<double>(step.demand.accelerators);
        return milliCores / 1000 * static_cast<double>(step.estimateMilliseconds) / 1000 * step.count;
    }

} // namespace

JobState::JobState(Wire::JobDefinition definition, Instant accepted, std::int64_t acceptedUnixMilliseconds)
    : m_definition(std::move(definition))
    , m_accepted(accepted)
    , m_acceptedUnixMilliseconds(acceptedUnixMilliseconds)
    , m_remainingCriticalPaths(remainingCriticalPaths(m_definition.steps))
{
    for (const Duration criticalPath : m_remainingCriticalPaths)
        m_criticalPath = std::max(m_criticalPath, criticalPath);
    m_firstTasks.push_back(0);
    for (const Wire::StepDefinition& step : m_definition.steps) {
        m_workCoreSeconds += coreSeconds(step);
        m_firstTasks.push_back(m_firstTasks.back() + step.count);
    }
    const Duration allowedDuration = std::chrono::duration_cast<Duration>(m_criticalPath * m_definition.stretch)
        + milliseconds(m_definition.objectiveMilliseconds);
    m_due = accepted + allowedDuration;
}

bool JobState::addDueOccurrences(Instant now, std::int64_t unixMilliseconds)
{
    const Duration allowedDuration = m_due - m_accepted;
    if (m_definition.occurrences <= 0) {
        if (m_occurrencesAdded > 0)
            return false;
        addOccurrence(now, m_occurrencesAdded++, m_due);
        return true;
    }
    bool added = false;
    while (m_occurrencesAdded < m_definition.occurrences) {
        const std::int64_t startUnixMilliseconds
            = m_definition.firstDueUnixMilliseconds + m_occurrencesAdded * m_definition.intervalMilliseconds;
        if (unixMilliseconds < startUnixMilliseconds)
            break;
        addOccurrence(
            now, m_occurrencesAdded++, now - milliseconds(unixMilliseconds - startUnixMilliseconds) + allowedDuration);
        added = true;
    }
    return added;
}

void JobState::addOccurrencesUpTo(Instant now, int occurrence)
{
    const int last = std::min(occurrence, std::max(m_definition.occurrences, 1) - 1);
    while (m_occurrencesAdded <= last)
        addOccurrence(now, m_occurrencesAdded++, now + (m_due - m_accepted));
}

void JobState::addOccurrence(Instant now, int occurrence, Instant due)
{
    for (std::size_t n = 0; n < m_definition.steps.size(); ++n) {
        StepState step;
        step.occurrence = occurrence;
        step.step = static_cast<int>(n);
        step.tasks.resize(static_cast<std::size_t>(m_definition.steps[n].count));
        for (TaskState& task : step.tasks)
            task.waitingSince = now;
        step.waitingTasks = m_definition.steps[n].count;
        step.due = due;
        step.remainingCriticalPath = m_remainingCriticalPaths[n];
        m_steps.push_back(std::move(step));
    }
    openSteps(now, occurrence);
}

StepState* JobState::findStep(int occurrence, int step)
{
    const std::size_t n
        = static_cast<std::size_t>(occurrence) * m_definition.steps.size() + static_cast<std::size_t>(step);
    const bool exists = occurrence >= 0 && step >= 0 && static_cast<std::size_t>(step) < m_definition.steps.size()
        && n < m_steps.size();
    return exists ? &m_steps[n] : nullptr;
}

TaskState* JobState::findTask(const Wire::TaskName& name)
{
    StepState* step = findStep(name.occurrence, name.step);
    if (!step || name.index < 0 || static_cast<std::size_t>(name.index) >= step->tasks.size())
        return nullptr;
    return &step->tasks[static_cast<std::size_t>(name.index)];
}

void JobState::openSteps(Instant now, int occurrence)
{
    for (std::size_t n = 0; n < m_definition.steps.size(); ++n) {
        StepState& step = *findStep(occurrence, static_cast<int>(n));
        if (step.open)
            continue;
        bool ready = true;
        for (const std::int32_t before : m_definition.steps[n].after) {
            const StepState* earlier = findStep(occurrence, before);
            ready = ready && earlier && earlier->completedTasks == static_cast<int>(earlier->tasks.size());
        }
        if (!ready)
            continue;
        step.open = true;
        step.openedAt = now;
        for (TaskState& task : step.tasks)
            task.waitingSince = now;
    }
}

void JobState::completeTask(Instant now, StepState& step, std::size_t index)
{
    const bool gang = stepDefinition(step).gang;
    // A gang completes as a whole: every member is marked.
    for (std::size_t n = gang ? 0 : index; n < (gang ? step.tasks.size() : index + 1); ++n) {
        TaskState& task = step.tasks[n];
        if (task.completed)
            continue;
        if (task.runs.empty())
            --step.waitingTasks;
        task.completed = true;
        task.checkpoint.clear();
        m_changedParts.insert(progressPart(step.occurrence, step.step, static_cast<std::int64_t>(n)));
        ++step.completedTasks;
    }
    if (step.completedTasks == static_cast<int>(step.tasks.size()))
        openSteps(now, step.occurrence);
}

void JobState::recordFailure(const StepState& step, TaskState& task, int run)
{
    task.failedRuns.push_back(run);
    m_changedParts.insert(progressPart(step.occurrence, step.step, &task - step.tasks.data()));
}

void JobState::setCheckpoint(const StepState& step, TaskState& task, const std::string& checkpoint)
{
    task.checkpoint = checkpoint;
    m_changedParts.insert(progressPart(step.occurrence, step.step, &task - step.tasks.data()));
}

void JobState::markWaiting(Instant now, StepState& step, TaskState& task)
{
    if (task.completed || !task.runs.empty())
        return;
    ++step.waitingTasks;
    task.waitingSince = now;
}

bool JobState::hasRuns() const
{
    return std::any_of(m_steps.begin(), m_steps.end(), [](const StepState& step) {
        return step.waitingTasks + step.completedTasks < static_cast<int>(step.tasks.size());
    });
}

bool JobState::isCompleted() const
{
    if (m_occurrencesAdded == 0 || m_occurrencesAdded < m_definition.occurrences)
        return false;
    return std::all_of(m_steps.begin(), m_steps.end(),
        [](const StepState& step) { return step.completedTasks == static_cast<int>(step.tasks.size()); });
}

int JobState::failedAttempts(const StepState& step, const TaskState& task) const
{
    if (!stepDefinition(step).gang)
        return static_cast<int>(task.failedRuns.size());
    std::set<int> runs;
    for (const TaskState& member : step.tasks)
        runs.insert(member.failedRuns.begin(), member.failedRuns.end());
    return static_cast<int>(runs.size());
}

std::size_t JobState::failedRuns() const
{
    std::size_t count = 0;
    for (const StepState& step : m_steps) {
        for (const TaskState& task : step.tasks)
            count += task.failedRuns.size();
    }
    return count;
}

int JobState::progressPart(int occurrence, int step, std::int64_t index) const
{
    const std::int64_t task = occurrence * m_firstTasks.back() + m_firstTasks[static_cast<std::size_t>(step)] + index;
    return static_cast<int>(task / tasksPerProgressPart);
}

std::vector<ProgressPart> JobState::takeChangedProgress()
{
    std::vector<ProgressPart> parts;
    m_changedParts.erase(0);
    for (const int part : m_changedParts)
        parts.push_back(ProgressPart { part, makeProgress(part) });
    parts.push_back(ProgressPart { 0, makeProgress(0) });
    m_storedParts.insert(m_changedParts.begin(), m_changedParts.end());
    m_changedParts.clear();
    return parts;
}

Wire::JobProgress JobState::makeProgress(int part) const
{
    Wire::JobProgress progress;
    progress.outcome = m_outcome;
    progress.started = m_started;
    const std::int64_t first = part * tasksPerProgressPart;
    const std::int64_t end
        = std::min(first + tasksPerProgressPart, m_firstTasks.back() * std::int64_t(m_occurrencesAdded));
    for (std::int64_t task = first; task < end;) {
        const int occurrence = static_cast<int>(task / m_firstTasks.back());
        const std::int64_t taskOfOccurrence = task % m_firstTasks.back();
        const int stepNumber = static_cast<int>(
            std::upper_bound(m_firstTasks.begin(), m_firstTasks.end(), taskOfOccurrence) - m_firstTasks.begin() - 1);
        const StepState& step = m_steps[static_cast<std::size_t>(occurrence) * m_definition.steps.size()
            + static_cast<std::size_t>(stepNumber)];
        const std::int64_t firstOfStep = task - (taskOfOccurrence - m_firstTasks[static_cast<std::size_t>(stepNumber)]);
        for (; task < end && task < firstOfStep + static_cast<std::int64_t>(step.tasks.size()); ++task) {
            const TaskState& state = step.tasks[static_cast<std::size_t>(task - firstOfStep)];
            if (!state.completed && state.failedRuns.empty() && state.checkpoint.empty())
                continue;
            Wire::TaskMark mark;
            mark.occurrence = step.occurrence;
            mark.step = step.step;
            mark.index = static_cast<std::int32_t>(task - firstOfStep);
            mark.completed = state.completed;
            mark.failedRuns = state.failedRuns;
            mark.checkpoint = state.checkpoint;
            progress.marks.push_back(std::move(mark));
        }
    }
    return progress;
}

void JobState::restoreProgress(
    Instant now, const Wire::JobProgress& progress, const std::set<int>& storedParts, std::int64_t unixMilliseconds)
{
    addDueOccurrences(now, unixMilliseconds);
    m_storedParts = storedParts;
    m_outcome = progress.outcome;
    // A mark records the end of a run. Records of earlier versions hold marks alone.
    m_started = progress.started || !progress.marks.empty();
    for (const Wire::TaskMark& mark : progress.marks) {
        addOccurrencesUpTo(now, mark.occurrence);
        StepState* step = findStep(mark.occurrence, mark.step);
        if (!step || mark.index < 0 || static_cast<std::size_t>(mark.index) >= step->tasks.size())
            continue;
        // Earlier versions stored all marks in part 0.
        const int part = progressPart(mark.occurrence, mark.step, mark.index);
        if (!storedParts.contains(part))
            m_changedParts.insert(part);
        TaskState& task = step->tasks[static_cast<std::size_t>(mark.index)];
        if (task.completed)
            continue;
        task.failedRuns = mark.failedRuns;
        for (const int run : mark.failedRuns)
            task.lastRun = std::max(task.lastRun, run);
        task.checkpoint = mark.checkpoint;
        if (!mark.completed)
            continue;
        task.completed = true;
        ++step->completedTasks;
        --step->waitingTasks;
    }
    for (int occurrence = 0; occurrence < m_occurrencesAdded; ++occurrence)
        openSteps(now, occurrence);
}

} // namespace Plantainpier
