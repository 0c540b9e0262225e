#include "Support/StandingWorkHistory.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <iostream>

namespace Plantainpier {

namespace {

    constexpr int stepMilliseconds = 10;
    constexpr double secondsPerStep = stepMilliseconds / 1000.0;
    constexpr int checkInterval = 100;
    constexpr int pulseInterval = 200;

    // The promise: work that has room twice over for overlookedBound does not stand still in a stretch that has been
    // without faults for calmBound. A long-running task may take restartBound before that counts.
    constexpr int restartBound = 6'000;
    constexpr int overlookedBound = 3'000;
    constexpr int calmBound = 7'000;
    /// Room counts as idle if it has been free in this many checks.
    constexpr std::size_t checksOfIdleRoom = 6;
    constexpr std::int64_t roomFactor = 2;

    constexpr int maximumAttempts = 4;
    constexpr double shortMilliCores = 2'800;
    constexpr std::int64_t targetMilliseconds = 150;
    /// Longer than any history.
    constexpr int endless = 100'000'000;
    /// Long-running tasks and short jobs arrive from then on, so that all hosts are known.
    constexpr int arrivalsFrom = 500;
    constexpr int shortJobsFrom = 3'000;
    constexpr std::size_t openJobsPerHost = 3;
    /// Share of the reserved processors that are requested while short tasks already arrive.
    constexpr double lateReservedShare = 0.14;

    Wire::Resources demandOf(double milliCores, double megabytes)
    {
        Wire::Resources demand;
        demand.milliProcessors = static_cast<std::int64_t>(milliCores);
        demand.memoryMegabytes = static_cast<std::int64_t>(megabytes);
        return demand;
    }

    void subtract(Wire::Resources& free, const Wire::Resources& demand)
    {
        free.milliProcessors -= demand.milliProcessors;
        free.memoryMegabytes -= demand.memoryMegabytes;
    }

    bool hasRoomTwice(const Wire::Resources& free, const Wire::Resources& demand)
    {
        return free.milliProcessors >= roomFactor * demand.milliProcessors
            && free.memoryMegabytes >= roomFactor * demand.memoryMegabytes;
    }

    Wire::OrderResult result(
        const Wire::TaskName& task, int run, Wire::OrderOutcome::type outcome, const std::string& reason)
    {
        Wire::OrderResult result;
        result.task = task;
        result.run = run;
        result.outcome = outcome;
        result.reason = reason;
        return result;
    }

    std::string cores(std::int64_t milliCores)
    {
        return std::to_string(milliCores / 1000) + "." + std::to_string(std::abs(milliCores) % 1000 / 100);
    }

} // namespace

StandingWorkHistory::StandingWorkHistory(const StandingWorkLoad& load)
    : m_load(load)
    , m_random(load.seed)
    , m_trace(std::getenv("PLANTAINPIER_TRACE") != nullptr)
{
    m_reservedShare = uniform(0.84, 0.92);
    for (int n = 0; n < m_load.hosts; ++n)
        addHost();
    for (const std::unique_ptr<FleetHost>& host : m_hosts)
        m_initialMilliCores += static_cast<double>(host->capacity.milliProcessors);
    m_formerLeasesEnd = at(0);
    beginTerm();
    m_faultsFrom = between(8'000, 14'000);
    m_faultsUntil = m_faultsFrom + between(2'000, 9'000);
}

StandingWorkHistory::~StandingWorkHistory() = default;

double StandingWorkHistory::spread(double mean, double relativeSpread, double maximum)
{
    const double sigma = std::sqrt(std::log(1 + relativeSpread * relativeSpread));
    const double value = std::lognormal_distribution<double>(std::log(mean) - sigma * sigma / 2, sigma)(m_random);
    return std::min(value, maximum);
}

void StandingWorkHistory::addHost()
{
    constexpr double smallHost = 64'000;
    constexpr double memoryPerMilliCore = 4;
    std::unique_ptr<FleetHost> host = std::make_unique<FleetHost>();
    const double milliCores = m_lastHost % 3 == 2 ? 1.5 * smallHost : smallHost;
    host->hostId = "host-" + std::to_string(1000 + m_lastHost++);
    host->capacity = demandOf(milliCores, memoryPerMilliCore * milliCores);
    host->incarnation = 1;
    host->host = std::make_unique<VirtualHost>(host->hostId, host->incarnation, m_records);
    host->reconnectAt = m_now + between(0, 100);
    m_hosts.push_back(std::move(host));
}

// Load.

std::string StandingWorkHistory::nextJobId(const char* kind)
{
    // The owner's order of jobs is not that of their arrival.
    return std::to_string(between(100'000, 999'999)) + "-" + kind + "-" + std::to_string(++m_lastJob);
}

void StandingWorkHistory::submit(Wire::JobDefinition job, Kind kind, std::vector<int> durations)
{
    job.maximumAttempts = maximumAttempts;
    JobTruth truth;
    truth.kind = kind;
    truth.durations = std::move(durations);
    for (const Wire::StepDefinition& step : job.steps)
        truth.steps.emplace_back(static_cast<std::size_t>(step.count));
    truth.definition = job;
    m_jobs[job.jobId] = std::move(truth);
    m_calls[++m_lastCallId] = job.jobId;
    OwnerModel& owner = m_owners.back();
    Actions actions;
    owner.owner->onCall(
        at(m_now), CallOrigin { noLink, m_lastCallId }, makeCall(Wire::JobCallKind::Submit, job), actions);
    perform(owner.term, actions);
}

void StandingWorkHistory::submitLongRunningJob()
{
    constexpr double apartShare = 0.5;
    constexpr int images = 16;
    Wire::StepDefinition step;
    step.count = between(6, 24);
    step.demand = demandOf(spread(13'000, 0.25, 20'000), spread(26'000, 0.3, 51'000));
    step.estimateMilliseconds = 1000;
    step.longRunning = true;
    step.maximumPerHost = chance(apartShare) ? between(1, 2) : 0;
    step.targetMilliseconds = targetMilliseconds;
    step.image = "serving-" + std::to_string(between(1, images));
    m_reservedMilliCores += static_cast<double>(step.demand.milliProcessors) * step.count;
    submit(makeJob(nextJobId("lasting"), { step }), Kind::LongRunning, { endless });
}

void StandingWorkHistory::submitShortJob()
{
    const int steps = static_cast<int>(std::lround(std::max(1.0, spread(1.6, 0.4, 4))));
    std::vector<Wire::StepDefinition> definitions;
    std::vector<int> durations;
    for (int n = 0; n < steps; ++n) {
        Wire::StepDefinition step;
        step.count = static_cast<int>(std::lround(std::max(1.0, spread(13, 0.8, 80))));
        step.demand = demandOf(spread(shortMilliCores, 0.45, 8'300), spread(5'600, 0.3, 11'000));
        durations.push_back(static_cast<int>(spread(1'000, 0.5, 2'500)));
        step.estimateMilliseconds = static_cast<std::int64_t>(durations.back() * uniform(0.8, 1.2));
        if (n > 0)
            step.after.push_back(n - 1);
        m_shortTasks += step.count;
        definitions.push_back(std::move(step));
    }
    submit(makeJob(nextJobId("short"), std::move(definitions)), Kind::Short, std::move(durations));
}

void StandingWorkHistory::submitFillerJob()
{
    constexpr int images = 30;
    const std::string image = "filler-" + std::to_string(between(1, images));
    std::vector<Wire::StepDefinition> definitions;
    std::vector<int> durations;
    for (int n = 0; n < 2; ++n) {
        Wire::StepDefinition step;
        step.count = static_cast<int>(std::lround(std::max(1.0, spread(20, 0.6, 80))));
        step.demand = demandOf(spread(7'000, 0.3, 14'000), spread(13'000, 0.3, 26'000));
        durations.push_back(static_cast<int>(spread(2'700, 0.5, 6'800)));
        step.estimateMilliseconds = static_cast<std::int64_t>(durations.back() * uniform(0.8, 1.2));
        step.filler = true;
        step.image = image;
        if (n > 0)
            step.after.push_back(n - 1);
        definitions.push_back(std::move(step));
    }
    Wire::JobDefinition job = makeJob(nextJobId("filler"), std::move(definitions));
    job.priority = 2;
    submit(std::move(job), Kind::Filler, std::move(durations));
}

void StandingWorkHistory::submitArrivals()
{
    if (m_owners.empty() || m_successorAt >= 0 || m_now < arrivalsFrom)
        return;
    const double requested = m_reservedMilliCores / m_initialMilliCores;
    const bool areMoreDue = m_now < shortJobsFrom ? requested < m_reservedShare - lateReservedShare
                                                  : requested < m_reservedShare && chance(0.4 * secondsPerStep);
    if (areMoreDue)
        submitLongRunningJob();
    // Clients do not add to a backlog without bound.
    const bool isBacklogFull = m_openJobs.size() > openJobsPerHost * m_hosts.size();
    if (m_now < shortJobsFrom || m_now >= m_load.arrivalsUntil || isBacklogFull)
        return;
    if (m_now >= m_burstUntil) {
        const bool isBurst = chance(0.6);
        m_shortLoad = isBurst ? uniform(1.1, 1.8) : uniform(0.5, 0.9);
        m_burstUntil = m_now + between(5'000, 20'000);
    }
    // The processors that long-running tasks leave determine how many short tasks are at work at once; each takes about
    // a second.
    const double left = std::max(0.04, 1 - requested) * m_initialMilliCores;
    m_shortTasks -= m_shortLoad * left / shortMilliCores * secondsPerStep;
    while (m_shortTasks < 0)
        submitShortJob();
    if (chance(0.008 * m_load.hosts * secondsPerStep))
        submitFillerJob();
}

// Faults.

void StandingWorkHistory::noteFault(const char* name) { ++m_faults[name]; }

StandingWorkHistory::FleetHost* StandingWorkHistory::chooseLivingHost()
{
    FleetHost& host = *m_hosts[static_cast<std::size_t>(between(0, static_cast<int>(m_hosts.size()) - 1))];
    return host.host && host.leavesAt < 0 ? &host : nullptr;
}

void StandingWorkHistory::loseHost(FleetHost& host, int startsAgainAt)
{
    dropLink(host);
    host.host->crash(m_now);
    host.host.reset();
    host.stops.clear();
    host.durations.clear();
    host.results.clear();
    host.unansweredStarts.clear();
    host.startsAgainAt = startsAgainAt;
    host.leavesAt = -1;
}

void StandingWorkHistory::endTerm()
{
    OwnerModel& owner = m_owners.back();
    const Duration hold = owner.owner->state().rules.ownershipHold;
    m_formerLeasesEnd = at(m_now) + withClockMargin(hold);
    const int how = between(0, 2);
    if (how == 0) {
        noteFault("owner_hands_over");
        owner.owner->handOver();
        m_formerLeasesEnd = at(m_now) + withClockMargin(owner.owner->state().rules.lease);
        m_successorAt = m_now + between(50, 300);
        return;
    }
    noteFault(how == 1 ? "owner_dies" : "owner_loses_store");
    m_successorAt = m_now + between(700, 1'500);
    owner.withoutStoreUntil = m_successorAt + between(0, 3'000);
    if (how == 1)
        m_owners.clear();
}

void StandingWorkHistory::beginTerm()
{
    m_successorAt = -1;
    const std::int64_t term = ++m_lastTerm;
    AppendToStore fence;
    fence.topic = StoreTopic::Jobs;
    fence.epoch = term;
    m_store.append(fence);
    OwnerModel next { term,
        std::make_unique<JobOwner>("entry-" + std::to_string(term), term, OwnerRules {}, at(m_now)) };
    next.owner->loadRecords(newestRecords());
    Actions actions;
    next.owner->finishLoad(at(m_now), m_now, m_formerLeasesEnd, actions);
    m_owners.push_back(std::move(next));
    perform(term, actions);
    for (const std::unique_ptr<FleetHost>& host : m_hosts)
        host->reconnectAt = m_now + (chance(0.1) ? between(0, 1'500) : between(0, 100));
}

void StandingWorkHistory::injectFault()
{
    const int kind = between(0, 10);
    FleetHost* host = chooseLivingHost();
    // Several hosts at once, as when a rack is affected.
    const int count = chance(0.2) ? std::max(2, m_load.hosts / 8) : 1;
    if (kind == 0 && m_successorAt < 0 && !m_owners.empty())
        endTerm();
    else if (kind == 1) {
        noteFault("store_away");
        m_storeUnavailableUntil = m_now + between(200, 3'000);
    } else if (kind == 2 && chance(0.25)) {
        noteFault("all_hosts_lost");
        const int from = m_now + between(300, 2'000);
        for (const std::unique_ptr<FleetHost>& each : m_hosts) {
            if (each->host)
                loseHost(*each, from + between(0, 2'500));
        }
    } else if (kind == 3) {
        noteFault("host_added");
        for (int n = 0; n < count; ++n)
            addHost();
    }
    for (int n = 0; kind >= 4 && n < count; ++n) {
        host = chooseLivingHost();
        if (!host)
            continue;
        if (kind == 4) {
            noteFault("host_lost");
            loseHost(*host, chance(0.5) ? m_now + between(300, 4'000) : -1);
        } else if (kind == 5) {
            noteFault("host_drains");
            host->leavesAt = m_now + between(2'300, 6'000);
            host->nextListAt = m_now;
        } else if (kind == 6 || kind == 7) {
            noteFault("link_down");
            host->unreachableUntil = m_now + (chance(0.5) ? between(10, 500) : between(500, 7'000));
        } else if (kind == 8) {
            noteFault("host_fails_runs");
            host->failsRunsUntil = m_now + between(1'000, 6'000);
        } else if (kind == 9) {
            noteFault("orders_lost");
            host->losesOrdersUntil = m_now + between(500, 4'000);
        } else if (kind == 10) {
            noteFault("orders_late");
            host->ordersLateUntil = m_now + between(500, 4'000);
        }
    }
}

bool StandingWorkHistory::isFaultUnderWay() const
{
    if (m_now < m_storeUnavailableUntil || m_owners.size() != 1 || m_successorAt >= 0)
        return true;
    return std::any_of(m_hosts.begin(), m_hosts.end(), [this](const std::unique_ptr<FleetHost>& host) {
        if (!host->host)
            return host->startsAgainAt >= 0;
        return host->leavesAt >= 0 || host->link == noLink || host->term != m_owners.back().term
            || m_now < host->unreachableUntil || m_now < host->failsRunsUntil || m_now < host->losesOrdersUntil
            || m_now < host->ordersLateUntil;
    });
}

void StandingWorkHistory::planFaults()
{
    constexpr double faultsPerSecond = 2;
    if (m_load.injectsFaults && m_now >= m_faultsFrom && m_now < m_faultsUntil
        && chance(faultsPerSecond * secondsPerStep)) {
        injectFault();
        m_calmSince = m_now;
    }
    if (m_now >= m_faultsUntil) {
        m_faultsFrom = m_now + between(16'000, 24'000);
        m_faultsUntil = m_faultsFrom + between(1'000, 9'000);
    }
    if (isFaultUnderWay())
        m_calmSince = m_now;
}

// The hosts and their sides.

void StandingWorkHistory::dropLink(FleetHost& host)
{
    if (host.link == noLink)
        return;
    if (OwnerModel* owner = findOwner(host.term))
        owner->owner->onLinkDown(at(m_now), host.link);
    m_hostsOfLinks.erase(host.link);
    host.link = noLink;
    host.arriving.clear();
}

void StandingWorkHistory::stepHost(FleetHost& host)
{
    if (!host.host) {
        if (host.startsAgainAt < 0 || m_now < host.startsAgainAt)
            return;
        host.startsAgainAt = -1;
        host.host = std::make_unique<VirtualHost>(host.hostId, ++host.incarnation, m_records);
    }
    host.host->tick(m_now);
    for (std::size_t n = 0; n < host.stops.size();) {
        if (m_now < host.stops[n].at) {
            ++n;
            continue;
        }
        const PendingStop stop = host.stops[n];
        host.stops.erase(host.stops.begin() + static_cast<std::ptrdiff_t>(n));
        host.host->stop(m_now, host.host->fence(), stop.order.task, stop.order.run);
    }
    if (host.leavesAt >= 0 && m_now >= host.leavesAt) {
        if (host.link != noLink && findOwner(host.term))
            sendReport(host, Wire::HostState::Gone);
        loseHost(host, chance(0.5) ? m_now + between(300, 4'000) : -1);
        return;
    }
    stepSide(host);
}

void StandingWorkHistory::stepSide(FleetHost& host)
{
    const std::int64_t newestTerm = m_owners.empty() ? 0 : m_owners.back().term;
    const bool mustReconnect = host.term < newestTerm && m_now >= host.reconnectAt;
    const bool isOwnerGone = !findOwner(host.term);
    if (isOwnerGone || mustReconnect || m_now < host.unreachableUntil)
        dropLink(host);
    if (m_now < host.unreachableUntil)
        return;
    if (host.link == noLink) {
        if (!mustReconnect && isOwnerGone)
            return;
        host.term = mustReconnect ? newestTerm : host.term;
        host.link = ++m_lastLink;
        const auto isThis = [&host](const std::unique_ptr<FleetHost>& other) { return other.get() == &host; };
        m_hostsOfLinks[host.link]
            = static_cast<std::size_t>(std::find_if(m_hosts.begin(), m_hosts.end(), isThis) - m_hosts.begin());
        host.nextListAt = m_now;
        // Over a new connection, the host first receives a call with the fence of the side, without a lease.
        host.host->renewLease(m_now, host.fence, 0, 0);
    }
    while (!host.arriving.empty() && m_now >= host.arriving.front().at) {
        const Wire::HostOrders orders = std::move(host.arriving.front().orders);
        host.arriving.pop_front();
        carryOut(host, orders);
    }
    if (m_now < host.nextListAt)
        return;
    sendReport(host, host.leavesAt >= 0 ? Wire::HostState::Draining : Wire::HostState::Ready);
    const bool isHurried = host.host->hasUnacknowledgedEnds() || !host.unansweredStarts.empty();
    host.nextListAt = m_now + (isHurried ? between(30, 90) : between(100, 200));
}

void StandingWorkHistory::sendReport(FleetHost& host, Wire::HostState::type state)
{
    OwnerModel* owner = findOwner(host.term);
    Wire::HostReport report = makeReport(host.hostId, host.incarnation, host.host->clock(m_now));
    report.capacity = host.capacity;
    report.state = state;
    report.remainingMilliseconds = host.leavesAt >= 0 ? host.leavesAt - m_now : 0;
    report.highestTerm = std::min(host.host->fence() / fencesPerTerm, host.term);
    report.listFence = host.fence;
    host.host->addListing(report);
    for (Wire::RunningTask& row : report.running) {
        const JobTruth& job = m_jobs.at(row.task.jobId);
        const std::int64_t milliCores
            = job.definition.steps[static_cast<std::size_t>(row.task.step)].demand.milliProcessors;
        row.usage = static_cast<std::int64_t>(
            job.kind == Kind::LongRunning ? targetMilliseconds * uniform(0.15, 0.5) : milliCores * uniform(0.8, 1.0));
        row.progressPercent = job.kind == Kind::LongRunning
            ? 100
            : host.host->progressPercent(m_now, row.task, row.run, host.durations[runKey(row.task, row.run)]);
    }
    report.results.swap(host.results);
    for (const Wire::StartOrder& order : host.unansweredStarts) {
        host.host->stop(m_now, host.fence, order.task, order.run);
        if (!host.host->isRunning(order.task, order.run) && !host.host->hasUnacknowledgedEnd(order.task, order.run))
            report.results.push_back(
                result(order.task, order.run, Wire::OrderOutcome::Absent, "stopped_before_it_ran"));
    }
    host.unansweredStarts.clear();
    Actions actions;
    owner->owner->onReport(at(m_now), host.link, report, actions);
    perform(owner->term, actions);
}

void StandingWorkHistory::startRun(FleetHost& host, const Wire::HostOrders& orders, const Wire::StartOrder& order)
{
    const bool losesOrders = m_now < host.losesOrdersUntil && chance(0.4);
    if (losesOrders)
        host.unansweredStarts.push_back(order);
    if (losesOrders && chance(0.5))
        return;
    const JobTruth& job = m_jobs.at(order.task.jobId);
    int duration = job.durations[static_cast<std::size_t>(order.task.step)];
    Wire::RunEnd::type end = Wire::RunEnd::Completed;
    const bool fails = m_now < host.failsRunsUntil;
    if (fails || chance(job.kind == Kind::LongRunning ? 0.1 : 0.02)) {
        end = Wire::RunEnd::Failed;
        duration = fails ? between(20, 80) : std::min(duration, between(500, 30'000));
    } else if (job.kind != Kind::LongRunning)
        duration = static_cast<int>(duration * uniform(0.85, 1.15));
    const std::string refused
        = host.host->start(m_now, orders.fence, order, orders.leaseUntilMilliseconds, duration, end);
    if (refused.empty()) {
        host.durations[runKey(order.task, order.run)] = duration;
        if (job.kind == Kind::Filler)
            host.host->setPace(m_now, order.task, order.run, order.percent);
    }
    // A repeated start adds no record.
    m_hostsOfRecords.resize(m_records.size(), m_hostsOfLinks.at(host.link));
    if (!losesOrders)
        host.results.push_back(result(order.task, order.run,
            refused.empty() ? Wire::OrderOutcome::Started : Wire::OrderOutcome::Refused, refused));
}

void StandingWorkHistory::carryOut(FleetHost& host, const Wire::HostOrders& orders)
{
    if (orders.incarnation != host.incarnation)
        return;
    host.fence = std::max(host.fence, orders.fence);
    const bool isAdmitted
        = host.host->renewLease(m_now, orders.fence, orders.leaseUntilMilliseconds, orders.acknowledgedNumber);
    for (const Wire::StartOrder& order : orders.starts)
        startRun(host, orders, order);
    for (const Wire::HaltOrder& halt : orders.halts) {
        if (isAdmitted && host.host->isRunning(halt.task, halt.run)) {
            host.stops.push_back(PendingStop { m_now + between(20, 900), halt });
            continue;
        }
        host.host->stop(m_now, orders.fence, halt.task, halt.run);
        if (!host.host->hasUnacknowledgedEnd(halt.task, halt.run))
            host.results.push_back(result(halt.task, halt.run, Wire::OrderOutcome::Absent, "stopped_before_it_ran"));
    }
    for (const Wire::PaceOrder& pace : orders.paces) {
        if (isAdmitted)
            host.host->setPace(m_now, pace.task, pace.run, pace.percent);
    }
    if (!host.results.empty())
        host.nextListAt = std::min(host.nextListAt, m_now + stepMilliseconds);
}

// The owners.

StandingWorkHistory::OwnerModel* StandingWorkHistory::findOwner(std::int64_t term)
{
    for (OwnerModel& model : m_owners) {
        if (model.term == term)
            return &model;
    }
    return nullptr;
}

std::vector<StoreRecord> StandingWorkHistory::newestRecords()
{
    ReadNewest call;
    call.topic = StoreTopic::Jobs;
    return m_store.newest(call).records;
}

void StandingWorkHistory::perform(std::int64_t term, const Actions& actions)
{
    for (const Action& action : actions) {
        if (const WriteLog* line = std::get_if<WriteLog>(&action)) {
            if (m_trace)
                std::cout << m_now << " term " << term << " " << line->line << "\n";
            if (line->line.starts_with("event=task_waits ")) {
                const std::size_t from = line->line.find("job=") + 4;
                m_waitLines[line->line.substr(from, line->line.find(' ', from) - from)]
                    = std::to_string(m_now) + " " + line->line;
            }
        }
        if (const AnswerJobCall* answer = std::get_if<AnswerJobCall>(&action)) {
            const std::map<std::uint64_t, std::string>::const_iterator it = m_calls.find(answer->token);
            if (it == m_calls.end())
                continue;
            JobTruth& job = m_jobs.at(it->second);
            if (answer->reply.kind != Wire::JobReplyKind::Accepted) {
                const Wire::StepDefinition& step = job.definition.steps[0];
                if (job.kind == Kind::LongRunning)
                    m_reservedMilliCores -= static_cast<double>(step.demand.milliProcessors) * step.count;
                continue;
            }
            job.acceptedAt = job.withoutRunSince = m_now;
            for (std::vector<TaskTruth>& tasks : job.steps) {
                for (TaskTruth& task : tasks)
                    task.withoutRunSince = m_now;
            }
            m_openJobs.insert(it->second);
        }
        const SendMessage* send = std::get_if<SendMessage>(&action);
        const Wire::HostOrders* orders = send ? std::get_if<Wire::HostOrders>(&send->message) : nullptr;
        const std::map<LinkId, std::size_t>::const_iterator it
            = orders ? m_hostsOfLinks.find(send->link) : m_hostsOfLinks.end();
        if (it == m_hostsOfLinks.end() || m_hosts[it->second]->term != term)
            continue;
        FleetHost& host = *m_hosts[it->second];
        const int delay = m_now < host.ordersLateUntil ? between(100, 1'500) : between(3, 15);
        const int previous = host.arriving.empty() ? 0 : host.arriving.back().at;
        host.arriving.push_back(ArrivingOrders { std::max(previous, m_now + delay), *orders });
    }
}

void StandingWorkHistory::stepOwner(OwnerModel& model)
{
    Actions actions;
    model.owner->tick(at(m_now), m_now, actions);
    perform(model.term, actions);
    const bool isNewest = &model == &m_owners.back();
    if (m_now < m_storeUnavailableUntil || m_now < model.withoutStoreUntil)
        return;
    if (isNewest && m_now >= model.nextPulseAt) {
        model.nextPulseAt = m_now + pulseInterval;
        model.owner->onPulseConfirmed(at(m_now));
    }
    const std::optional<AppendToStore> append = model.owner->nextAppend(at(m_now));
    if (!append)
        return;
    Actions more;
    model.owner->onAppendResponse(at(m_now), m_store.append(*append), more);
    perform(model.term, more);
}

void StandingWorkHistory::step()
{
    m_now += stepMilliseconds;
    planFaults();
    if (m_successorAt >= 0 && m_now >= m_successorAt && m_now >= m_storeUnavailableUntil)
        beginTerm();
    submitArrivals();
    for (const std::unique_ptr<FleetHost>& host : m_hosts)
        stepHost(*host);
    for (OwnerModel& model : m_owners)
        stepOwner(model);
    if (m_successorAt < 0 && m_owners.back().owner->isFenced())
        m_violations.push_back(std::to_string(m_now) + ": the newest owner is fenced");
    std::erase_if(m_owners, [](const OwnerModel& model) { return model.owner->isFenced(); });
    if (m_owners.empty() && m_successorAt < 0)
        m_successorAt = m_now;
    if (m_now % checkInterval == 0)
        check();
}

void StandingWorkHistory::run()
{
    while (m_now < m_load.endAt)
        step();
    for (const std::string& jobId : m_openJobs) {
        const JobTruth& job = m_jobs.at(jobId);
        for (const TaskTruth& task : job.steps[0]) {
            if (job.kind == Kind::LongRunning && task.runs == 0)
                m_waits.push_back(m_now - task.withoutRunSince);
        }
    }
}

// The checks.

void StandingWorkHistory::followRecords()
{
    for (; m_followedRecords < m_records.size(); ++m_followedRecords) {
        const RunRecord& record = m_records[m_followedRecords];
        JobTruth& job = m_jobs.at(record.task.jobId);
        TaskTruth& task
            = job.steps[static_cast<std::size_t>(record.task.step)][static_cast<std::size_t>(record.task.index)];
        if (job.kind == Kind::LongRunning && task.runs == 0 && job.acceptedAt >= 0)
            m_waits.push_back(record.startedAt - task.withoutRunSince);
        ++task.runs;
        ++job.runs;
        m_activeRecords.push_back(m_followedRecords);
    }
    std::erase_if(m_activeRecords, [this](std::size_t n) {
        const RunRecord& record = m_records[n];
        if (record.endedAt < 0)
            return false;
        JobTruth& job = m_jobs.at(record.task.jobId);
        TaskTruth& task
            = job.steps[static_cast<std::size_t>(record.task.step)][static_cast<std::size_t>(record.task.index)];
        task.completed = task.completed || record.how == Wire::RunEnd::Completed;
        task.failures += record.how == Wire::RunEnd::Failed ? 1 : 0;
        if (--task.runs == 0)
            task.withoutRunSince = record.endedAt;
        if (--job.runs == 0)
            job.withoutRunSince = record.endedAt;
        return true;
    });
}

std::vector<StandingWorkHistory::HostRoom> StandingWorkHistory::measureRoom()
{
    std::vector<HostRoom> rooms(m_hosts.size());
    double reserved = 0;
    double capacity = 0;
    for (std::size_t n = 0; n < m_hosts.size(); ++n) {
        const FleetHost& host = *m_hosts[n];
        rooms[n].isSound = host.host && host.leavesAt < 0 && host.link != noLink && m_now >= host.failsRunsUntil;
        rooms[n].besidesLongRunning = rooms[n].besidesAll = host.capacity;
        capacity += host.host ? static_cast<double>(host.capacity.milliProcessors) : 0;
    }
    for (const std::size_t n : m_activeRecords) {
        const RunRecord& record = m_records[n];
        const JobTruth& job = m_jobs.at(record.task.jobId);
        const Wire::Resources& demand = job.definition.steps[static_cast<std::size_t>(record.task.step)].demand;
        HostRoom& room = rooms[m_hostsOfRecords[n]];
        subtract(room.besidesAll, demand);
        room.shortRuns += job.kind == Kind::Short ? 1 : 0;
        room.fillers += job.kind == Kind::Filler ? 1 : 0;
        if (job.kind != Kind::LongRunning)
            continue;
        subtract(room.besidesLongRunning, demand);
        ++room.runsOfSteps[{ record.task.jobId, record.task.step }];
        reserved += static_cast<double>(demand.milliProcessors);
    }
    for (std::size_t n = 0; n < rooms.size(); ++n) {
        std::deque<Wire::Resources>& free = m_hosts[n]->recentlyFree;
        free.push_back(rooms[n].besidesAll);
        if (free.size() > checksOfIdleRoom)
            free.pop_front();
        rooms[n].idle = rooms[n].besidesAll;
        for (const Wire::Resources& each : free) {
            rooms[n].idle.milliProcessors = std::min(rooms[n].idle.milliProcessors, each.milliProcessors);
            rooms[n].idle.memoryMegabytes = std::min(rooms[n].idle.memoryMegabytes, each.memoryMegabytes);
        }
    }
    m_peakReservedShare = std::max(m_peakReservedShare, capacity > 0 ? reserved / capacity : 0);
    return rooms;
}

bool StandingWorkHistory::isStepOpen(const JobTruth& job, std::size_t step) const
{
    const std::vector<std::int32_t>& after = job.definition.steps[step].after;
    return std::all_of(after.begin(), after.end(), [&job](std::int32_t earlier) {
        const std::vector<TaskTruth>& tasks = job.steps[static_cast<std::size_t>(earlier)];
        return std::all_of(tasks.begin(), tasks.end(), [](const TaskTruth& task) { return task.completed; });
    });
}

bool StandingWorkHistory::isOver(const JobTruth& job) const
{
    if (job.kind == Kind::LongRunning)
        return false;
    bool isCompleted = true;
    for (const std::vector<TaskTruth>& tasks : job.steps) {
        for (const TaskTruth& task : tasks) {
            if (task.failures >= maximumAttempts)
                return true;
            isCompleted = isCompleted && task.completed;
        }
    }
    return isCompleted;
}

std::string StandingWorkHistory::describe(const JobTruth& job, const HostRoom& room, std::size_t host) const
{
    std::string text = m_hosts[host]->hostId + " has " + cores(room.besidesLongRunning.milliProcessors) + " cores and "
        + std::to_string(room.besidesLongRunning.memoryMegabytes) + " MB besides long-running tasks, "
        + cores(room.besidesAll.milliProcessors) + " cores and " + std::to_string(room.besidesAll.memoryMegabytes)
        + " MB besides all, " + std::to_string(room.shortRuns) + " short runs, " + std::to_string(room.fillers)
        + " fillers";
    const std::map<std::string, std::string>::const_iterator it = m_waitLines.find(job.definition.jobId);
    return text + (it == m_waitLines.end() ? "" : "; " + it->second);
}

void StandingWorkHistory::checkLongRunning(JobTruth& job, const std::vector<HostRoom>& rooms)
{
    // Room twice over for a long-running task: a sound host that is not draining has, besides the long-running tasks
    // that it runs, free processors and memory of twice the demand of the task, and the step is below its maximum
    // there. Short runs take no room from it: they end within seconds, and nothing says that others must follow them.
    // Fillers are less urgent.
    const Wire::StepDefinition& step = job.definition.steps[0];
    std::optional<std::size_t> found;
    for (std::size_t n = 0; n < rooms.size() && !found; ++n) {
        const std::map<std::pair<std::string, int>, int>::const_iterator it
            = rooms[n].runsOfSteps.find({ job.definition.jobId, 0 });
        const bool isBelowMaximum
            = step.maximumPerHost == 0 || it == rooms[n].runsOfSteps.end() || it->second < step.maximumPerHost;
        if (rooms[n].isSound && isBelowMaximum && hasRoomTwice(rooms[n].besidesLongRunning, step.demand))
            found = n;
    }
    for (std::size_t index = 0; index < job.steps[0].size(); ++index) {
        TaskTruth& task = job.steps[0][index];
        const int waited = m_now - task.withoutRunSince;
        task.waitedWithRoom = task.runs > 0 ? 0 : task.waitedWithRoom + (found ? checkInterval : 0);
        m_longestWithRoom = std::max(m_longestWithRoom, task.waitedWithRoom);
        if (task.runs > 0 || waited < restartBound || !found) {
            task.overlookedSince = -1;
            continue;
        }
        if (task.overlookedSince < 0)
            task.overlookedSince = m_now;
        if (task.isReported || m_now - task.overlookedSince < overlookedBound || m_now - m_calmSince < calmBound)
            continue;
        task.isReported = true;
        m_violations.push_back(std::to_string(m_now) + ": " + job.definition.jobId + " task " + std::to_string(index)
            + " (" + cores(step.demand.milliProcessors) + " cores, " + std::to_string(step.demand.memoryMegabytes)
            + " MB, at most " + std::to_string(step.maximumPerHost) + " a host) without a run for "
            + std::to_string(waited) + " ms, calm for " + std::to_string(m_now - m_calmSince) + " ms; "
            + describe(job, rooms[*found], *found));
    }
}

void StandingWorkHistory::checkStandstill(JobTruth& job, const std::vector<HostRoom>& rooms)
{
    // Room twice over for a task that ends: a sound host that is not draining has had free processors and memory of
    // twice its demand, besides everything that it ran, fillers at full pace, for longer than it takes to list the end
    // of a run and to start another. Other work of any priority is a reason to wait.
    std::optional<std::size_t> found;
    bool canStart = false;
    for (std::size_t n = 0; n < job.steps.size() && job.runs == 0; ++n) {
        const std::vector<TaskTruth>& tasks = job.steps[n];
        const bool isComplete
            = std::all_of(tasks.begin(), tasks.end(), [](const TaskTruth& task) { return task.completed; });
        if (isComplete || !isStepOpen(job, n))
            continue;
        canStart = true;
        const Wire::Resources& demand = job.definition.steps[n].demand;
        for (std::size_t host = 0; host < rooms.size() && !found; ++host) {
            if (rooms[host].isSound && hasRoomTwice(rooms[host].idle, demand))
                found = host;
        }
    }
    if (canStart)
        m_longestStandstill = std::max(m_longestStandstill, m_now - job.withoutRunSince);
    if (!found) {
        job.overlookedSince = -1;
        return;
    }
    if (job.overlookedSince < 0)
        job.overlookedSince = m_now;
    if (job.isReported || m_now - job.overlookedSince < overlookedBound || m_now - m_calmSince < calmBound)
        return;
    job.isReported = true;
    m_violations.push_back(std::to_string(m_now) + ": " + job.definition.jobId + " has had no run for "
        + std::to_string(m_now - job.withoutRunSince) + " ms, calm for " + std::to_string(m_now - m_calmSince) + " ms; "
        + describe(job, rooms[*found], *found));
}

void StandingWorkHistory::check()
{
    followRecords();
    const std::vector<HostRoom> rooms = measureRoom();
    std::erase_if(m_openJobs, [this](const std::string& jobId) { return isOver(m_jobs.at(jobId)); });
    for (const std::string& jobId : m_openJobs) {
        JobTruth& job = m_jobs.at(jobId);
        if (job.kind == Kind::LongRunning)
            checkLongRunning(job, rooms);
        else
            checkStandstill(job, rooms);
    }
}

WaitSummary StandingWorkHistory::longRunningWaits() const
{
    WaitSummary summary;
    std::vector<int> waits = m_waits;
    std::sort(waits.begin(), waits.end());
    summary.count = waits.size();
    if (waits.empty())
        return summary;
    summary.median = waits[waits.size() / 2];
    summary.percentile95 = waits[waits.size() * 95 / 100];
    summary.longest = waits.back();
    return summary;
}

} // namespace Plantainpier
