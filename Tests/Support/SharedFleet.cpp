#include "Support/SharedFleet.h"

#include <algorithm>
#include <cmath>

namespace Plantainpier {

namespace {

    constexpr int stepMilliseconds = 10;
    constexpr double secondsPerStep = stepMilliseconds / 1000.0;
    constexpr double coresPerMilliCore = 1 / 1000.0;
    constexpr std::size_t servingImages = 16;
    /// Each filler image with a high pressure presses the serving images of one of these kinds.
    constexpr std::size_t servingKinds = 3;
    constexpr double lowestHighPressure = 5;
    constexpr double highestHighPressure = 13;
    constexpr double highestLowPressure = 2;

    constexpr std::int64_t targetMilliseconds = 150;
    /// Share of serving jobs with at most one task on each host.
    constexpr double apartShare = 0.5;
    /// Headroom of an idle serving task.
    constexpr double idleHeadroom = 6;
    constexpr double meanServingLoad = 0.48;
    constexpr double servingSwing = 0.5;
    constexpr double swingMilliseconds = 20'000;
    constexpr double lowestHeadroom = 0.12;
    /// Some tasks have another headroom than their siblings, for as long as they live.
    constexpr double unlikeShare = 0.2;
    constexpr double lowestFactor = 0.6;
    constexpr double highestFactor = 1.4;
    /// Reported figures deviate by up to this share.
    constexpr double figureNoise = 0.1;
    /// Reported figures cover this time.
    constexpr double figureMilliseconds = 500;

    constexpr int paceDelay = 100;
    constexpr int longestStop = 900;
    constexpr int restoreMilliseconds = 600;
    constexpr int figuresInterval = 200;

    constexpr double planStretch = 2;
    constexpr int planObjective = 1'000;
    constexpr double lateWorthShare = 0.15;

    OwnerRules rulesOf(const FleetLoad& load)
    {
        OwnerRules rules;
        rules.fillerPlacement = load.fillerPlacement;
        return rules;
    }

    Wire::Resources demandOf(double milliCores, double megabytes)
    {
        Wire::Resources demand;
        demand.milliProcessors = static_cast<std::int64_t>(milliCores);
        demand.memoryMegabytes = static_cast<std::int64_t>(megabytes);
        return demand;
    }

} // namespace

SharedFleet::SharedFleet(const FleetLoad& load)
    : m_load(load)
    , m_random(load.seed)
    , m_runRandom(load.seed)
    , m_harness(1, rulesOf(load))
{
    addHosts();
    choosePressures();
}

void SharedFleet::choosePressures()
{
    constexpr std::size_t noKind = servingKinds;
    const auto chooseKind = [this] { return static_cast<std::size_t>(uniform(0, servingKinds)) % servingKinds; };
    std::vector<std::size_t> fillerKinds;
    for (std::size_t filler = 0; filler < m_load.fillerImages; ++filler)
        fillerKinds.push_back(uniform(0, 1) < m_load.highPressureShare ? chooseKind() : noKind);
    for (std::size_t serving = 0; serving < servingImages; ++serving) {
        const std::size_t kind = chooseKind();
        const std::size_t otherKind = uniform(0, 1) < m_load.twoKindsShare ? chooseKind() : kind;
        std::vector<double> pressures;
        for (const std::size_t fillerKind : fillerKinds) {
            const bool isHigh = fillerKind == kind || fillerKind == otherKind;
            pressures.push_back(
                isHigh ? uniform(lowestHighPressure, highestHighPressure) : uniform(0, highestLowPressure));
        }
        m_pressures.push_back(std::move(pressures));
    }
}

double SharedFleet::spread(double mean, double relativeSpread, double maximum)
{
    const double sigma = std::sqrt(std::log(1 + relativeSpread * relativeSpread));
    const double value = std::lognormal_distribution<double>(std::log(mean) - sigma * sigma / 2, sigma)(m_random);
    return std::min(value, maximum);
}

void SharedFleet::addHosts()
{
    constexpr double memoryPerMilliCore = 4;
    for (int n = 0; n < m_load.hosts; ++n) {
        SimulatedHost host;
        host.hostId = "host-" + std::to_string(1000 + n);
        host.milliCores = n % 3 == 2 ? 1.5 * m_load.smallHostMilliCores : m_load.smallHostMilliCores;
        host.megabytes = m_load.hostMegabytes.value_or(static_cast<std::int64_t>(memoryPerMilliCore * host.milliCores));
        host.reportAt = n * stepMilliseconds % figuresInterval;
        m_hostIndexes[host.hostId] = m_hosts.size();
        m_hosts.push_back(std::move(host));
    }
}

std::string SharedFleet::nextJobId()
{
    // A fixed permutation, since ids must not show the order of submission.
    constexpr unsigned multiplier = 2654435761U;
    const std::string digits = std::to_string(static_cast<unsigned>(++m_lastJob) * multiplier);
    return std::string(16 - digits.size(), '0') + digits;
}

void SharedFleet::submit(Wire::JobDefinition job, std::vector<double> durations)
{
    m_durations[job.jobId] = std::move(durations);
    m_harness.submit(m_now, job);
    m_jobs[job.jobId] = std::move(job);
}

void SharedFleet::submitServingJob()
{
    Wire::StepDefinition step;
    step.count = m_load.servingJobWidth;
    step.demand
        = demandOf(spread(m_load.servingMilliCores, 0.25, 20'000), spread(m_load.servingMegabytes, 0.3, 51'000));
    step.estimateMilliseconds = 1000;
    step.longRunning = true;
    step.maximumPerHost = uniform(0, 1) < apartShare ? 1 : 0;
    step.targetMilliseconds = targetMilliseconds;
    step.image = "serving-" + std::to_string(static_cast<std::size_t>(uniform(0, servingImages)) % servingImages);
    Wire::JobDefinition job = makeJob(nextJobId(), { step });
    m_servingPhases[job.jobId] = uniform(0, 1);
    submit(std::move(job), { 0 });
}

void SharedFleet::submitShortJob()
{
    const int steps = static_cast<int>(std::lround(std::max(1.0, spread(1.6, 0.4, 4))));
    std::vector<Wire::StepDefinition> definitions;
    std::vector<double> durations;
    for (int n = 0; n < steps; ++n) {
        Wire::StepDefinition step;
        step.count = static_cast<int>(std::lround(std::max(1.0, spread(m_load.shortJobWidth, 0.8, 80))));
        step.demand = demandOf(spread(m_load.shortMilliCores, 0.45, 8'300), spread(5'600, 0.3, 11'000));
        durations.push_back(spread(m_load.shortDuration, 0.5, 2'500));
        step.estimateMilliseconds = static_cast<std::int64_t>(durations.back() * uniform(0.8, 1.2));
        if (n > 0)
            step.after.push_back(n - 1);
        definitions.push_back(std::move(step));
    }
    submit(makeJob(nextJobId(), std::move(definitions)), std::move(durations));
}

void SharedFleet::submitPlan()
{
    const int steps = static_cast<int>(std::lround(std::max(1.0, spread(2, 0.4, 5))));
    const std::string image
        = "filler-" + std::to_string(static_cast<std::size_t>(uniform(0, m_load.fillerImages)) % m_load.fillerImages);
    std::vector<Wire::StepDefinition> definitions;
    std::vector<double> durations;
    PlanOutcome plan;
    double chain = 0;
    for (int n = 0; n < steps; ++n) {
        Wire::StepDefinition step;
        step.count = static_cast<int>(std::lround(std::max(1.0, spread(m_load.planWidth, 0.6, 4 * m_load.planWidth))));
        step.demand
            = demandOf(spread(m_load.fillerMilliCores, 0.3, 14'000), spread(m_load.fillerMegabytes, 0.3, 26'000));
        durations.push_back(spread(m_load.planDuration, 0.5, 6'800));
        step.estimateMilliseconds = static_cast<std::int64_t>(durations.back() * uniform(0.8, 1.2));
        step.savesProgress = uniform(0, 1) < 0.85;
        step.filler = true;
        step.image = image;
        if (n > 0)
            step.after.push_back(n - 1);
        chain += durations.back();
        plan.coreSeconds += durations.back() / 1000 * step.count * static_cast<double>(step.demand.milliProcessors)
            * coresPerMilliCore;
        definitions.push_back(std::move(step));
    }
    Wire::JobDefinition job = makeJob(nextJobId(), std::move(definitions));
    job.priority = 2;
    job.stretch = planStretch;
    job.objectiveMilliseconds = planObjective;
    plan.jobId = job.jobId;
    plan.acceptedAt = m_now;
    plan.dueAt = m_now + static_cast<int>(planStretch * chain) + planObjective;
    m_plans.push_back(plan);
    submit(std::move(job), std::move(durations));
}

void SharedFleet::submitArrivals()
{
    if (m_now >= m_load.arrivalsUntil)
        return;
    const bool isBurst = m_now >= m_load.burstFrom && m_now < m_load.burstUntil;
    const double plans = m_load.plansPerSecond * (isBurst ? m_load.burstFactor : 1) * secondsPerStep;
    if (uniform(0, 1) < plans)
        submitPlan();
    const bool isShortBurst = m_now >= m_load.shortBurstFrom && m_now < m_load.shortBurstUntil;
    const double shortJobs = m_load.shortJobsPerSecond * (isShortBurst ? m_load.shortFactor : 1) * secondsPerStep;
    if (uniform(0, 1) < shortJobs)
        submitShortJob();
}

void SharedFleet::start(SimulatedHost& host, const Wire::StartOrder& order)
{
    const Wire::JobDefinition& job = m_jobs.at(order.task.jobId);
    const Wire::StepDefinition& step = job.steps[static_cast<std::size_t>(order.task.step)];
    SimulatedRun run;
    run.task = order.task;
    run.run = order.run;
    run.milliCores = static_cast<double>(step.demand.milliProcessors);
    run.savesProgress = step.savesProgress;
    if (step.longRunning) {
        run.kind = Kind::Serving;
        run.servingImage = static_cast<std::size_t>(std::stoul(step.image.substr(step.image.find('-') + 1)));
        run.servingPhase = m_servingPhases.at(order.task.jobId);
        run.headroomFactor = uniformOfRun(0, 1) < unlikeShare ? uniformOfRun(lowestFactor, highestFactor) : 1;
    } else {
        run.kind = step.filler ? Kind::Filler : Kind::Short;
        run.work
            = m_durations.at(order.task.jobId)[static_cast<std::size_t>(order.task.step)] * uniformOfRun(0.85, 1.15);
        run.done = run.saved = order.checkpoint.empty() ? 0 : std::stod(order.checkpoint);
        run.restoreUntil = order.checkpoint.empty() ? 0 : m_now + restoreMilliseconds;
        if (step.filler) {
            run.fillerImage = static_cast<std::size_t>(std::stoul(step.image.substr(step.image.find('-') + 1)));
            run.nextPace = order.percent;
            run.nextPaceAt = m_now + paceDelay;
        }
        if (!order.checkpoint.empty())
            m_account.repeated += restoreMilliseconds / 1000.0 * run.milliCores * coresPerMilliCore;
    }
    host.runs.insert_or_assign(runKey(order.task, order.run), run);
}

void SharedFleet::deliverOrders()
{
    std::vector<Wire::HostOrders> sent;
    sent.swap(m_harness.sentOrders);
    for (const Wire::HostOrders& orders : sent) {
        SimulatedHost& host = m_hosts[m_hostIndexes.at(orders.hostId)];
        std::erase_if(
            host.ended, [&orders](const Wire::EndedTask& row) { return row.number <= orders.acknowledgedNumber; });
        for (const Wire::StartOrder& order : orders.starts)
            start(host, order);
        for (const Wire::HaltOrder& order : orders.halts) {
            const std::map<RunKey, SimulatedRun>::iterator it = host.runs.find(runKey(order.task, order.run));
            if (it != host.runs.end() && it->second.stopAt < 0)
                it->second.stopAt = m_now + static_cast<int>(uniformOfRun(50, longestStop));
        }
        for (const Wire::PaceOrder& order : orders.paces) {
            const std::map<RunKey, SimulatedRun>::iterator it = host.runs.find(runKey(order.task, order.run));
            if (it == host.runs.end())
                continue;
            it->second.nextPace = order.percent;
            it->second.nextPaceAt = m_now + paceDelay;
        }
    }
    m_harness.startOrders.clear();
    m_harness.haltOrders.clear();
    m_harness.paceOrders.clear();
    m_harness.storedRecords.clear();
    m_harness.replies.clear();
}

double SharedFleet::servingLoad(const SimulatedRun& run) const
{
    constexpr double fullTurn = 6.283185307179586;
    const double swing = servingSwing * std::sin(fullTurn * (m_now / swingMilliseconds + run.servingPhase));
    return std::min(0.95, meanServingLoad * (1 + swing));
}

void SharedFleet::endRun(SimulatedHost& host, const SimulatedRun& run, Wire::RunEnd::type how)
{
    Wire::EndedTask row = makeEndedTask(++host.lastEndNumber, run.task, run.run, how);
    if (how == Wire::RunEnd::Stopped) {
        const double kept = run.savesProgress && m_load.savesWhenStopped ? run.done : run.saved;
        m_account.repeated += (run.done - kept) / 1000 * run.milliCores * coresPerMilliCore;
        if (kept > 0)
            row.checkpoint = std::to_string(kept);
    }
    host.ended.push_back(std::move(row));
    host.endsToReport = true;
}

void SharedFleet::advanceServing(SimulatedHost& host, const std::vector<double>& fillerShares)
{
    for (std::pair<const RunKey, SimulatedRun>& entry : host.runs) {
        SimulatedRun& run = entry.second;
        if (run.kind != Kind::Serving)
            continue;
        double pressed = 0;
        for (std::size_t filler = 0; filler < m_load.fillerImages; ++filler)
            pressed += m_pressures[run.servingImage][filler] * fillerShares[filler];
        const double ownHeadroom = idleHeadroom * run.headroomFactor * (1 - servingLoad(run));
        const double headroom = std::max(lowestHeadroom, ownHeadroom - pressed);
        run.usage += ((static_cast<double>(targetMilliseconds) / headroom) - run.usage) * stepMilliseconds
            / figureMilliseconds;
        m_account.serving += secondsPerStep;
        m_account.overTarget += headroom < 1 ? secondsPerStep : 0;
        const bool isDisturbed = headroom < 1 && ownHeadroom >= 1;
        m_account.overTargetByFillers += isDisturbed ? secondsPerStep : 0;
        if (!isDisturbed)
            run.overTargetByFillersSince = -1;
        else if (run.overTargetByFillersSince < 0)
            run.overTargetByFillersSince = m_now;
        else
            m_account.longestInterference
                = std::max(m_account.longestInterference, m_now - run.overTargetByFillersSince);
    }
}

void SharedFleet::advance(SimulatedHost& host)
{
    double inUse = 0;
    double requested = 0;
    for (std::pair<const RunKey, SimulatedRun>& entry : host.runs) {
        SimulatedRun& run = entry.second;
        if (run.kind == Kind::Serving)
            inUse += run.milliCores * servingLoad(run);
        else if (run.kind == Kind::Short)
            inUse += run.milliCores;
        if (run.kind != Kind::Filler)
            continue;
        if (m_now >= run.nextPaceAt)
            run.pace = run.nextPace;
        const double wanted = run.milliCores * run.pace / 100;
        requested += wanted;
        m_account.heldBack += (run.milliCores - wanted) * coresPerMilliCore * secondsPerStep;
    }
    const double left = std::max(0.0, host.milliCores - inUse);
    const double granted = requested > left ? left / requested : 1;
    m_account.left += left * coresPerMilliCore * secondsPerStep;
    std::vector<double> fillerShares(m_load.fillerImages, 0.0);
    for (std::map<RunKey, SimulatedRun>::iterator it = host.runs.begin(); it != host.runs.end();) {
        SimulatedRun& run = it->second;
        if (run.kind == Kind::Serving) {
            ++it;
            continue;
        }
        const double speed = run.kind == Kind::Short ? 1 : granted * run.pace / 100;
        const double milliCores = speed * run.milliCores;
        if (run.kind == Kind::Filler) {
            fillerShares[run.fillerImage] += milliCores / host.milliCores;
            m_account.usedByFillers += milliCores * coresPerMilliCore * secondsPerStep;
        }
        run.usage += (milliCores - run.usage) * stepMilliseconds / figureMilliseconds;
        if (m_now >= run.restoreUntil)
            run.done += speed * stepMilliseconds;
        if (run.savesProgress && run.done - run.saved >= m_load.checkpointInterval)
            run.saved = run.done;
        const bool isComplete = run.done >= run.work;
        if (isComplete || (run.stopAt >= 0 && m_now >= run.stopAt)) {
            endRun(host, run, isComplete ? Wire::RunEnd::Completed : Wire::RunEnd::Stopped);
            it = host.runs.erase(it);
        } else
            ++it;
    }
    advanceServing(host, fillerShares);
}

void SharedFleet::report(SimulatedHost& host)
{
    Wire::HostReport report = makeReport(host.hostId, 1, m_now);
    report.capacity = demandOf(host.milliCores, static_cast<double>(host.megabytes));
    for (const std::pair<const RunKey, SimulatedRun>& entry : host.runs) {
        const SimulatedRun& run = entry.second;
        Wire::RunningTask row = makeRunningTask(run.task, run.run);
        row.usage = std::lround(run.usage * uniformOfRun(1 - figureNoise, 1 + figureNoise));
        row.progressPercent
            = run.kind == Kind::Serving ? 100 : static_cast<int>(std::min(99.0, 100 * run.done / run.work));
        if (run.saved > 0)
            row.checkpoint = std::to_string(run.saved);
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

void SharedFleet::recordEnds()
{
    for (PlanOutcome& plan : m_plans) {
        if (plan.endedAt >= 0)
            continue;
        const std::map<std::string, std::unique_ptr<JobState>>& jobs = m_harness.owner.state().jobs;
        const std::map<std::string, std::unique_ptr<JobState>>::const_iterator it = jobs.find(plan.jobId);
        if (it != jobs.end() && it->second->outcome() == Wire::JobOutcome::Completed)
            plan.endedAt = m_now;
    }
}

void SharedFleet::run()
{
    for (SimulatedHost& host : m_hosts)
        report(host);
    m_harness.settle(m_now);
    for (int n = 0; n < m_load.servingJobs; ++n)
        submitServingJob();
    for (; m_now < m_load.endAt; m_now += stepMilliseconds) {
        submitArrivals();
        m_harness.tick(m_now);
        deliverOrders();
        for (SimulatedHost& host : m_hosts) {
            advance(host);
            if (!host.endsToReport && m_now < host.reportAt)
                continue;
            if (m_now >= host.reportAt)
                host.reportAt = m_now + figuresInterval;
            host.endsToReport = false;
            report(host);
        }
        recordEnds();
    }
}

double SharedFleet::meanCoreSeconds() const
{
    double sum = 0;
    for (const PlanOutcome& plan : m_plans)
        sum += plan.coreSeconds;
    return m_plans.empty() ? 1 : sum / static_cast<double>(m_plans.size());
}

double SharedFleet::worthOf(const PlanOutcome& plan, double meanCoreSeconds) const
{
    return std::min(4.0, 0.3 + 0.7 * plan.coreSeconds / meanCoreSeconds);
}

double SharedFleet::earnedShare() const
{
    const double mean = meanCoreSeconds();
    double owed = 0;
    double earned = 0;
    for (const PlanOutcome& plan : m_plans) {
        const double worth = worthOf(plan, mean);
        owed += worth;
        earned += plan.isInTime() ? worth : plan.isLate() ? lateWorthShare * worth : 0;
    }
    return owed == 0 ? 0 : earned / owed;
}

double SharedFleet::inTimeShare() const
{
    const std::ptrdiff_t inTime
        = std::count_if(m_plans.begin(), m_plans.end(), [](const PlanOutcome& plan) { return plan.isInTime(); });
    return m_plans.empty() ? 0 : static_cast<double>(inTime) / static_cast<double>(m_plans.size());
}

double SharedFleet::earnedShareBound() const
{
    const double mean = meanCoreSeconds();
    std::vector<PlanOutcome> plans = m_plans;
    std::sort(plans.begin(), plans.end(), [this, mean](const PlanOutcome& one, const PlanOutcome& other) {
        return worthOf(one, mean) / one.coreSeconds > worthOf(other, mean) / other.coreSeconds;
    });
    double owed = 0;
    double earned = 0;
    double left = m_account.left;
    for (const PlanOutcome& plan : plans) {
        const double worth = worthOf(plan, mean);
        const double share = std::min(1.0, left / plan.coreSeconds);
        left -= share * plan.coreSeconds;
        owed += worth;
        earned += share * worth;
    }
    return owed == 0 ? 0 : earned / owed;
}

} // namespace Plantainpier
