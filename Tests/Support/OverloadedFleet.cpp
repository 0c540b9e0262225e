#include "Support/OverloadedFleet.h"

#include <cmath>

namespace Plantainpier {

namespace {

    constexpr int stepMilliseconds = 20;
    constexpr int reportInterval = 200;
    constexpr double coresPerHost = 16;
    constexpr std::int64_t megabytesPerHost = 16'000;
    constexpr double swingMilliseconds = 15'000;
    constexpr double taskCores = 2;
    /// A host has memory for twice as many fillers as it has processors for.
    constexpr std::int64_t fillerMegabytes = 1'000;
    constexpr double meanDuration = 1'200;
    constexpr double meanWidth = 14;
    constexpr double meanSteps = 1.5;
    constexpr int maximumRetries = 4;
    constexpr double lateWorthShare = 0.15;

} // namespace

OverloadedFleet::OverloadedFleet(const OverloadScenario& scenario)
    : m_scenario(scenario)
    , m_random(scenario.seed)
    , m_harness(1, scenario.rules)
{
    for (int n = 0; n < scenario.hosts; ++n) {
        SimulatedHost host;
        host.hostId = "host-" + std::to_string(1000 + n);
        host.reportAt = n * stepMilliseconds % reportInterval;
        m_hostIndexes[host.hostId] = m_hosts.size();
        m_hosts.push_back(std::move(host));
    }
    planArrivals();
}

double OverloadedFleet::loadAt(int now) const
{
    return now >= m_scenario.burstFrom && now < m_scenario.burstUntil ? m_scenario.burstLoad : m_scenario.usualLoad;
}

void OverloadedFleet::planArrivals()
{
    const double meanCoreSeconds = meanSteps * meanWidth * taskCores * meanDuration / 1000;
    const double jobsPerStep = m_scenario.hosts * coresPerHost * stepMilliseconds / 1000 / meanCoreSeconds;
    for (int now = 0; now < m_scenario.arrivalsUntil; now += stepMilliseconds) {
        if (uniform(0, 1) < jobsPerStep * loadAt(now))
            addJob(now, false);
        if (uniform(0, 1) < jobsPerStep * m_scenario.urgentLoad)
            addJob(now, true);
    }
}

void OverloadedFleet::addJob(int now, bool urgent)
{
    constexpr unsigned multiplier = 2654435761U;
    const std::string digits = std::to_string(static_cast<unsigned>(m_jobs.size() + 1) * multiplier);
    JobHistory job;
    const int steps = uniform(0, 1) < meanSteps - 1 ? 2 : 1;
    std::vector<Wire::StepDefinition> definitions;
    double chain = 0;
    for (int n = 0; n < steps; ++n) {
        // A tenth of the steps is far wider than the others.
        const double width = uniform(0, 1) < 0.1 ? 3 * meanWidth : uniform(0.2, 1.3) * meanWidth;
        job.durations.push_back(meanDuration * uniform(0.5, 1.5));
        const double error = uniform(1 - m_scenario.estimateError, 1 + m_scenario.estimateError);
        Wire::StepDefinition step = makeStep(static_cast<int>(std::lround(std::max(1.0, width))),
            static_cast<std::int64_t>(1000 * taskCores), std::lround(job.durations.back() * error));
        if (n > 0)
            step.after.push_back(n - 1);
        step.filler = m_scenario.fillers && !urgent;
        if (step.filler) {
            step.demand.memoryMegabytes = fillerMegabytes;
            step.image = "filler";
        }
        job.coreSeconds += step.count * taskCores * job.durations.back() / 1000;
        chain += static_cast<double>(step.estimateMilliseconds);
        definitions.push_back(std::move(step));
    }
    job.definition = makeJob(std::string(16 - digits.size(), '0') + digits, std::move(definitions));
    job.definition.priority = urgent ? 0 : 2;
    job.firstAttemptAt = now;
    job.nextAttemptAt = now;
    job.allowed = static_cast<int>(job.definition.stretch * chain) + job.definition.objectiveMilliseconds;
    m_jobIndexes[job.definition.jobId] = m_jobs.size();
    m_jobs.push_back(std::move(job));
}

void OverloadedFleet::submitDueJobs()
{
    for (JobHistory& job : m_jobs) {
        if (job.firstAttemptAt > m_now)
            break;
        if (job.nextAttemptAt >= 0 && job.nextAttemptAt <= m_now)
            submit(job);
    }
}

void OverloadedFleet::submit(JobHistory& job)
{
    Wire::JobDefinition definition = job.definition;
    if (m_scenario.exempt.contains(definition.jobId)) {
        // A job with occurrences is accepted without an estimate. One that is due at once is otherwise no different.
        definition.occurrences = 1;
        definition.firstDueUnixMilliseconds = 0;
    }
    const std::size_t before = m_harness.replies.size();
    ++job.attempts;
    job.nextAttemptAt = -1;
    m_harness.submit(m_now, definition);
    if (m_harness.replies.size() == before || m_harness.replies.back().kind != Wire::JobReplyKind::Refused) {
        job.acceptedAt = m_now;
        m_openJobs.insert(definition.jobId);
        return;
    }
    const int delay = static_cast<int>(m_harness.replies.back().retryAfterMilliseconds);
    job.rejectedAt.push_back(m_now);
    job.retryAt.push_back(m_now + delay);
    if (job.attempts <= maximumRetries)
        job.nextAttemptAt = m_now + delay;
}

void OverloadedFleet::deliverOrders()
{
    std::vector<Wire::HostOrders> sent;
    sent.swap(m_harness.sentOrders);
    for (const Wire::HostOrders& orders : sent) {
        SimulatedHost& host = m_hosts[m_hostIndexes.at(orders.hostId)];
        std::erase_if(
            host.ended, [&orders](const Wire::EndedTask& row) { return row.number <= orders.acknowledgedNumber; });
        for (const Wire::StartOrder& order : orders.starts) {
            JobHistory& job = m_jobs[m_jobIndexes.at(order.task.jobId)];
            const std::size_t step = static_cast<std::size_t>(order.task.step);
            job.hasStarted = true;
            // A task's duration does not depend on when it is placed, so that two plays of a seed can be compared.
            const double factor = 0.85 + 0.3 * std::fmod(0.618 * (order.task.index + 1), 1.0);
            host.runs.emplace(runKey(order.task, order.run),
                SimulatedRun { order.task, order.run, taskCores, job.durations[step] * factor, 0,
                    job.definition.steps[step].filler });
        }
        for (const Wire::HaltOrder& order : orders.halts) {
            if (host.runs.erase(runKey(order.task, order.run)) == 0)
                continue;
            host.ended.push_back(makeEndedTask(++host.lastEndNumber, order.task, order.run, Wire::RunEnd::Stopped));
            host.endsToReport = true;
        }
    }
    m_harness.startOrders.clear();
    m_harness.storedRecords.clear();
}

void OverloadedFleet::advance(SimulatedHost& host)
{
    constexpr double fullTurn = 6.283185307179586;
    const double slowdown
        = m_scenario.slowdown * 0.5 * (1 + std::sin(fullTurn * m_now / swingMilliseconds + m_scenario.seed));
    double reserved = 0;
    double requested = 0;
    for (const std::pair<const RunKey, SimulatedRun>& entry : host.runs)
        (entry.second.filler ? requested : reserved) += entry.second.cores;
    const double left = std::max(0.0, coresPerHost - reserved);
    const double granted = requested > left ? left / requested : 1;
    for (std::map<RunKey, SimulatedRun>::iterator it = host.runs.begin(); it != host.runs.end();) {
        SimulatedRun& run = it->second;
        run.done += stepMilliseconds * (1 - slowdown) * (run.filler ? granted : 1);
        if (run.done < run.work) {
            ++it;
            continue;
        }
        host.ended.push_back(makeEndedTask(++host.lastEndNumber, run.task, run.run, Wire::RunEnd::Completed));
        host.endsToReport = true;
        it = host.runs.erase(it);
    }
}

void OverloadedFleet::report(SimulatedHost& host)
{
    Wire::HostReport report = makeReport(host.hostId, 1, m_now);
    report.capacity.milliProcessors = static_cast<std::int64_t>(1000 * coresPerHost);
    report.capacity.memoryMegabytes = megabytesPerHost;
    for (const std::pair<const RunKey, SimulatedRun>& entry : host.runs) {
        Wire::RunningTask row = makeRunningTask(entry.second.task, entry.second.run);
        // Hosts report progress in steps of a tenth.
        row.progressPercent = 10 * static_cast<int>(std::min(9.0, 10 * entry.second.done / entry.second.work));
        row.usage = std::lround(1000 * entry.second.cores);
        report.running.push_back(std::move(row));
    }
    report.ended = host.ended;
    const std::map<std::string, Host>& known = m_harness.owner.state().hosts.hosts();
    const std::map<std::string, Host>::const_iterator it = known.find(host.hostId);
    if (it == known.end()) {
        m_harness.announceAndReport(m_now, report);
        return;
    }
    report.listFence = it->second.fence;
    m_harness.deliverReport(m_now, report);
}

void OverloadedFleet::recordEnds()
{
    const std::map<std::string, std::unique_ptr<JobState>>& jobs = m_harness.owner.state().jobs;
    for (std::set<std::string>::iterator it = m_openJobs.begin(); it != m_openJobs.end();) {
        const std::map<std::string, std::unique_ptr<JobState>>::const_iterator job = jobs.find(*it);
        if (job == jobs.end() || job->second->outcome() != Wire::JobOutcome::Completed) {
            ++it;
            continue;
        }
        m_jobs[m_jobIndexes.at(*it)].endedAt = m_now;
        it = m_openJobs.erase(it);
    }
}

void OverloadedFleet::run()
{
    for (SimulatedHost& host : m_hosts)
        report(host);
    m_harness.settle(m_now);
    for (; m_now < m_scenario.endAt; m_now += stepMilliseconds) {
        submitDueJobs();
        m_harness.tick(m_now);
        deliverOrders();
        for (SimulatedHost& host : m_hosts) {
            advance(host);
            if (!host.endsToReport && m_now < host.reportAt)
                continue;
            if (m_now >= host.reportAt)
                host.reportAt = m_now + reportInterval;
            host.endsToReport = false;
            report(host);
        }
        recordEnds();
    }
}

std::size_t OverloadedFleet::rejections() const
{
    std::size_t count = 0;
    for (const JobHistory& job : m_jobs)
        count += job.rejectedAt.size();
    return count;
}

std::vector<const JobHistory*> OverloadedFleet::lessUrgentJobs() const
{
    std::vector<const JobHistory*> found;
    for (const JobHistory& job : m_jobs) {
        if (job.definition.priority > 0)
            found.push_back(&job);
    }
    return found;
}

double OverloadedFleet::earnedShare() const
{
    const std::vector<const JobHistory*> jobs = lessUrgentJobs();
    double work = 0;
    for (const JobHistory* job : jobs)
        work += job->coreSeconds;
    const double mean = work / static_cast<double>(jobs.size());
    double owed = 0;
    double earned = 0;
    for (const JobHistory* job : jobs) {
        const double worth = std::min(4.0, 0.3 + 0.7 * job->coreSeconds / mean);
        owed += worth;
        earned += job->isInTime() ? worth : job->isUseful() ? lateWorthShare * worth : 0;
    }
    return earned / owed;
}

double OverloadedFleet::usefulShare(bool largestTenth) const
{
    std::vector<const JobHistory*> jobs = lessUrgentJobs();
    std::sort(jobs.begin(), jobs.end(),
        [](const JobHistory* one, const JobHistory* other) { return one->coreSeconds > other->coreSeconds; });
    if (largestTenth)
        jobs.resize(jobs.size() / 10);
    const std::ptrdiff_t useful
        = std::count_if(jobs.begin(), jobs.end(), [](const JobHistory* job) { return job->isUseful(); });
    return static_cast<double>(useful) / static_cast<double>(jobs.size());
}

} // namespace Plantainpier
