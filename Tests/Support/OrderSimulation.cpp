#include "Support/OrderSimulation.h"

#include "Support/HistorySeeds.h"
#include "Wire/Codec.h"

#include <iostream>

namespace Plantainpier {

namespace {

    constexpr int ordinaryHostCount = 4;
    constexpr int largeHostCount = 12;
    /// A list of a large fleet holds this number of ends, so that some lists omit ends.
    constexpr std::size_t maximumListedEnds = 5;
    constexpr std::int64_t milliCoresPerHost = 4000;
    constexpr int maximumAttempts = 3;
    constexpr int stepMilliseconds = 5;
    /// Longer than any lease, the ownership hold and the delay of any late order, so that every job can finish after
    /// the last fault.
    constexpr int faultFreeMilliseconds = 45'000;
    constexpr int announceIntervalMilliseconds = 1100;
    /// A process takes at least this time to start, which is longer than the pause of a side between two lists.
    constexpr int minimumRestartMilliseconds = 150;
    constexpr int callTimeoutMilliseconds = 700;
    constexpr int listMarginMilliseconds = 900;
    /// The longest delay of a message to or from a side that is reachable and not slow.
    constexpr int ordinaryDelayMilliseconds = 8;
    constexpr int unlimitedMilliseconds = 1'000'000'000;

    std::string describe(const RunRecord& record)
    {
        return record.task.jobId + " task " + std::to_string(record.task.index) + " run " + std::to_string(record.run)
            + " at " + std::to_string(record.startedAt);
    }

} // namespace

OrderSimulation::OrderSimulation(unsigned seed, const HistoryOptions& options)
    : m_random(seed)
    , m_foreignRandom(seed + 1)
    , m_overlapRandom(seed + 2)
    , m_departureRandom(seed + 3)
    , m_fleetRandom(seed + 4)
    , m_slowRandom(seed + 5)
    , m_zones(seed + 6)
    , m_options(options)
    , m_trace(std::getenv("PLANTAINPIER_TRACE") != nullptr)
    , m_sides(options.largeFleet ? largeHostCount : ordinaryHostCount)
{
    for (std::size_t n = 0; n < m_sides.size(); ++n) {
        m_sides[n].host = std::make_unique<VirtualHost>("host-" + std::to_string(n), 1, m_records);
        restartSide(n);
    }
    changeOwner();
}

void OrderSimulation::run(int milliseconds)
{
    const int end = m_now + milliseconds;
    while (m_now < end) {
        if (m_now % (m_options.largeFleet ? 40 : 100) == 0)
            submit();
        injectFaults();
        step();
    }
    m_faultFree = true;
    m_zones.endFaults(m_now);
    m_storeUnavailableUntil = m_now;
    m_ordersLateUntil = m_now;
    for (OwnerModel& model : m_owners)
        model.frozenUntil = m_now;
    for (Side& side : m_sides) {
        side.unreachableUntil = m_now;
        side.refusesConnectionsUntil = m_now;
        side.refusesStartsUntil = m_now;
        side.slowUntil = m_now;
    }
    for (const int until = m_now + faultFreeMilliseconds; m_now < until;)
        step();
}

void OrderSimulation::injectFaults()
{
    const int hostCount = static_cast<int>(m_sides.size());
    if (chance(0.0008))
        changeOwner();
    if (chance(0.0008))
        m_owners.back().frozenUntil = m_now + randomBelow(6000);
    if (chance(0.0015))
        m_sides[static_cast<std::size_t>(randomBelow(hostCount))].unreachableUntil
            = m_now + randomBelow(chance(0.5) ? 1500 : 8000);
    if (chance(0.0015))
        crashHost(static_cast<std::size_t>(randomBelow(hostCount)));
    if (chance(0.001))
        restartSide(static_cast<std::size_t>(randomBelow(hostCount)));
    if (chance(0.0005))
        m_storeUnavailableUntil = m_now + randomBelow(3000);
    if (chance(0.001))
        m_ordersLateUntil = m_now + randomBelow(4000);
    if (chance(0.001))
        m_sides[static_cast<std::size_t>(randomBelow(hostCount))].refusesConnectionsUntil
            = m_now + randomBelow(chance(0.5) ? 500 : 4000);
    if (chance(0.001))
        m_sides[static_cast<std::size_t>(randomBelow(hostCount))].refusesStartsUntil = m_now + randomBelow(8000);
    if (std::uniform_real_distribution<double>(0, 1)(m_foreignRandom) < 0.001)
        announceForeignHost(m_foreignRandom() % m_sides.size());
    injectOptionalFaults();
}

void OrderSimulation::injectOptionalFaults()
{
    const int hostCount = static_cast<int>(m_sides.size());
    if (m_options.overlappingSides && chanceOf(m_overlapRandom, 0.003))
        restartSide(static_cast<std::size_t>(below(m_overlapRandom, hostCount)));
    if (m_options.plannedDepartures && chanceOf(m_departureRandom, 0.003))
        drainHost(static_cast<std::size_t>(below(m_departureRandom, hostCount)));
    if (m_options.slowAnswers && chanceOf(m_slowRandom, 0.002))
        m_sides[static_cast<std::size_t>(below(m_slowRandom, hostCount))].slowUntil = m_now + below(m_slowRandom, 5000);
}

int OrderSimulation::slowDelay(std::size_t n, int maximum)
{
    return m_now < m_sides[n].slowUntil ? below(m_slowRandom, maximum) : 0;
}

void OrderSimulation::announceForeignHost(std::size_t n)
{
    HostDescription description = describeHost(*m_sides[(n + 1) % m_sides.size()].host);
    if (m_foreignRandom() % 2 == 0)
        description.hostId = "foreign-" + std::to_string(m_now);
    description.incarnation += static_cast<std::int64_t>(m_foreignRandom() % 3);
    description.sequence = 1;
    Actions actions;
    m_sides[n].agent->onAnnouncement(at(m_now), description, actions);
    performSide(n, m_sides[n].process, std::move(actions));
}

HostDescription OrderSimulation::describeHost(const VirtualHost& host)
{
    HostDescription description;
    description.hostId = host.hostId();
    description.incarnation = host.incarnation();
    description.service = "desk";
    description.zone = ZoneHistory::zoneOfHost(host.hostId());
    description.rack = "rack-1";
    description.capacity.milliProcessors = milliCoresPerHost;
    description.capacity.memoryMegabytes = 10'000;
    return description;
}

void OrderSimulation::submit()
{
    constexpr int jobsPerLongRunningJob = 40;
    Wire::StepDefinition step = makeStep(1 + randomBelow(3), 1000, 300);
    const std::string number = std::to_string(m_jobs.size());
    if (m_jobs.size() % jobsPerLongRunningJob == 0) {
        step.count = 2;
        step.longRunning = true;
        step.demand.milliProcessors = 500;
    } else if (m_options.largeFleet && chanceOf(m_fleetRandom, 0.1)) {
        step.count = 5 + below(m_fleetRandom, 20);
    }
    Wire::JobDefinition job = makeJob((step.longRunning ? "lasting-" : "job-") + number, { step });
    job.maximumAttempts = maximumAttempts;
    OwnerModel& model = m_owners.back();
    if (m_now < model.frozenUntil)
        return;
    Actions actions;
    model.owner->onCall(
        at(m_now), CallOrigin { noLink, m_jobs.size() }, makeCall(Wire::JobCallKind::Submit, job), actions);
    m_answerCheck.onSubmit(m_jobs.size(), job);
    m_jobs.push_back(job);
    performOwner(model.term, std::move(actions));
}

void OrderSimulation::endOwners()
{
    for (std::pair<const LinkId, Connection>& entry : m_connections) {
        Connection& connection = entry.second;
        if (!connection.closed)
            schedule(2, [this, n = connection.side, process = connection.process, link = connection.sideLink] {
                withAgent(n, process,
                    [this, link](HostAgent& agent, Actions& actions) { agent.onLinkDown(at(m_now), link, actions); });
            });
        connection.closed = true;
    }
    m_owners.clear();
}

void OrderSimulation::startOwner(Duration leasesHeld, int foundAfter)
{
    const std::int64_t term = ++m_lastTerm;
    AppendToStore fence;
    fence.topic = StoreTopic::Jobs;
    fence.epoch = term;
    m_store.append(fence);
    OwnerModel next;
    next.term = term;
    const OwnerRules rules = m_options.zoneClosures ? ZoneHistory::ownerRules() : OwnerRules {};
    next.owner = std::make_unique<JobOwner>("entry", term, rules, at(m_now));
    if (m_options.zoneClosures)
        next.zoneReader = std::make_unique<ZoneReader>(m_zones);
    next.owner->loadRecords(newestRecords());
    Actions actions;
    next.owner->finishLoad(at(m_now), m_now, at(m_now) + withClockMargin(leasesHeld), actions);
    m_owners.push_back(std::move(next));
    performOwner(term, std::move(actions));
    const auto publishClaim = [this, term] {
        Wire::OwnerClaim claim;
        claim.nodeId = "entry-" + std::to_string(term);
        claim.address = "127.0.0.1";
        claim.port = static_cast<std::int32_t>(term);
        m_claims.push_back(StoreRecord { "owner", Wire::encode(claim), term - 1 });
    };
    if (foundAfter > 0)
        schedule(foundAfter, publishClaim);
    else
        publishClaim();
}

void OrderSimulation::changeOwner()
{
    if (chance(0.5))
        endOwners();
    startOwner(OwnerRules {}.ownershipHold, 0);
}

int OrderSimulation::runHandOvers(int count)
{
    constexpr int intervalMilliseconds = 8000;
    constexpr int withoutOwnerMilliseconds = 1500;
    constexpr std::size_t leavingShare = 3;
    m_faultFree = true;
    m_areNoticesOnTime = true;
    const auto stepUntil = [this](int end) {
        while (m_now < end)
            step();
    };
    stepUntil(m_now + intervalMilliseconds);
    Wire::StepDefinition lasting = makeStep(static_cast<int>(m_sides.size()), 500, 300);
    lasting.longRunning = true;
    const std::uint64_t number = m_jobs.size();
    m_jobs.push_back(makeJob("lasting-0", { lasting }));
    m_answerCheck.onSubmit(number, m_jobs.back());
    Actions actions;
    m_owners.back().owner->onCall(
        at(m_now), CallOrigin { noLink, number }, makeCall(Wire::JobCallKind::Submit, m_jobs.back()), actions);
    performOwner(m_owners.back().term, std::move(actions));
    stepUntil(m_now + intervalMilliseconds);
    for (int n = 0; n < count; ++n) {
        const int startedAt = m_now;
        endOwners();
        startOwner(OwnerRules {}.lease, withoutOwnerMilliseconds);
        // The sides notice first that the owner has ended, so that nothing is reported to it.
        stepUntil(startedAt + 4 * stepMilliseconds);
        for (std::size_t k = static_cast<std::size_t>(n) % leavingShare; k < m_sides.size(); k += leavingShare) {
            drainHost(k);
            m_sides[k].departsAt = m_now + 300 + below(m_departureRandom, 700);
        }
        stepUntil(startedAt + intervalMilliseconds);
    }
    return longestTimeWithoutRun();
}

int OrderSimulation::longestTimeWithoutRun() const
{
    // The end of the newest run of each task; negative while it is active.
    std::map<std::string, int> lastEnds;
    int longest = 0;
    for (const RunRecord& record : m_records) {
        const std::string task = record.task.jobId + "." + std::to_string(record.task.index);
        const std::map<std::string, int>::const_iterator it = lastEnds.find(task);
        if (it != lastEnds.end() && it->second >= 0)
            longest = std::max(longest, record.startedAt - it->second);
        lastEnds[task] = record.endedAt;
    }
    for (const std::pair<const std::string, int>& end : lastEnds) {
        if (end.second >= 0)
            longest = std::max(longest, m_now - end.second);
    }
    return longest;
}

void OrderSimulation::restartSide(std::size_t n)
{
    Side& side = m_sides[n];
    const bool overlaps = m_options.overlappingSides && side.agent && !m_faultFree;
    if (overlaps) {
        FormerProcess& former = side.formerProcesses[side.process];
        former.agent = std::move(side.agent);
        if (chanceOf(m_overlapRandom, 0.4))
            former.suspendedUntil = m_now + below(m_overlapRandom, 4000);
        former.endsAt = std::max(m_now, former.suspendedUntil) + 50 + below(m_overlapRandom, 300);
    }
    ++side.process;
    NodeIdentity identity { "side-" + std::to_string(n), side.process, "127.0.0.1", 1 };
    side.agent = std::make_unique<HostAgent>(identity, HostAgentTiming {});
    side.announceAt = m_now + randomBelow(announceIntervalMilliseconds);
    if (overlaps)
        return;
    for (std::pair<const LinkId, Connection>& entry : m_connections) {
        if (entry.second.side == n && !entry.second.closed && entry.second.process == side.process - 1)
            close(n, entry.second.process, entry.second.sideLink);
    }
}

void OrderSimulation::stepFormerProcesses(std::size_t n)
{
    std::map<int, FormerProcess>& processes = m_sides[n].formerProcesses;
    for (std::map<int, FormerProcess>::iterator it = processes.begin(); it != processes.end();) {
        if (m_now < it->second.endsAt) {
            if (m_now >= it->second.suspendedUntil) {
                Actions actions;
                it->second.agent->tick(at(m_now), actions);
                performSide(n, it->first, std::move(actions));
            }
            ++it;
            continue;
        }
        for (std::pair<const LinkId, Connection>& entry : m_connections) {
            if (entry.second.side == n && !entry.second.closed && entry.second.process == it->first)
                close(n, it->first, entry.second.sideLink);
        }
        it = processes.erase(it);
    }
}

HostAgent* OrderSimulation::findAgent(std::size_t n, int process)
{
    if (m_sides[n].process == process)
        return m_sides[n].agent.get();
    const std::map<int, FormerProcess>::iterator it = m_sides[n].formerProcesses.find(process);
    return it == m_sides[n].formerProcesses.end() ? nullptr : it->second.agent.get();
}

void OrderSimulation::withAgent(std::size_t n, int process, const std::function<void(HostAgent&, Actions&)>& act)
{
    const std::map<int, FormerProcess>::iterator it = m_sides[n].formerProcesses.find(process);
    if (it != m_sides[n].formerProcesses.end() && m_now < it->second.suspendedUntil) {
        m_events.emplace(it->second.suspendedUntil, [this, n, process, act] { withAgent(n, process, act); });
        return;
    }
    if (HostAgent* agent = findAgent(n, process)) {
        Actions actions;
        act(*agent, actions);
        performSide(n, process, std::move(actions));
    }
}

void OrderSimulation::drainHost(std::size_t n)
{
    Side& side = m_sides[n];
    if (!side.hostUp || side.draining)
        return;
    side.draining = true;
    side.departsAt = m_now + 300 + below(m_departureRandom, 3000);
    side.announceAt = m_now;
}

void OrderSimulation::departHost(std::size_t n)
{
    Side& side = m_sides[n];
    const std::string hostId = side.host->hostId();
    const bool isNoticeLate = !m_areNoticesOnTime && chanceOf(m_departureRandom, 0.2);
    const int delay = isNoticeLate ? below(m_departureRandom, 5000) : 1;
    schedule(delay, [this, n, hostId] {
        withAgent(n, m_sides[n].process, [this, hostId](HostAgent& agent, Actions& actions) {
            agent.onDepartureNotice(at(m_now), hostId, actions);
        });
    });
    side.host->crash(m_now);
    side.hostUp = false;
    side.hostReplaced = true;
    side.hostRestartAt = m_now + minimumRestartMilliseconds + below(m_departureRandom, 3000);
}

void OrderSimulation::crashHost(std::size_t n)
{
    Side& side = m_sides[n];
    if (!side.hostUp)
        return;
    side.host->crash(m_now);
    side.hostUp = false;
    const int minimumRestart = m_options.restarts == HostRestarts::Ordinary ? minimumRestartMilliseconds : 20;
    side.hostRestartAt = m_now + minimumRestart + randomBelow(chance(0.5) ? 100 : 3000);
}

void OrderSimulation::stepHost(std::size_t n)
{
    Side& side = m_sides[n];
    if (!side.hostUp && m_now >= side.hostRestartAt) {
        // The next incarnation has the same id and no state of the earlier one.
        const std::string hostId = side.hostReplaced
            ? "host-" + std::to_string(n) + "-" + std::to_string(side.host->incarnation() + 1)
            : side.host->hostId();
        side.host = std::make_unique<VirtualHost>(
            hostId, side.host->incarnation() + 1, m_records, m_now - randomBelow(3) * stepMilliseconds);
        side.hostUp = true;
        side.hostReplaced = false;
        side.draining = false;
        side.announcements = 0;
        const bool announcedLate = m_options.restarts == HostRestarts::Immediate && chance(0.5);
        side.announceAt = m_now + randomBelow(announcedLate ? announceIntervalMilliseconds : 20);
    }
    if (!side.hostUp)
        return;
    side.host->tick(m_now);
    if (side.draining && m_now >= side.departsAt) {
        departHost(n);
        return;
    }
    if (m_now < side.announceAt)
        return;
    side.announceAt = m_now + announceIntervalMilliseconds;
    HostDescription description = describeHost(*side.host);
    description.sequence = ++side.announcements;
    description.draining = side.draining;
    description.remainingMilliseconds = side.draining ? std::max(0, side.departsAt - m_now) : 0;
    // Some announcements are delayed, so that they may arrive after those of the next incarnation.
    announce(n, !m_faultFree && chance(0.05) ? randomBelow(5000) : 1, description);
}

void OrderSimulation::announce(std::size_t n, int delay, const HostDescription& description)
{
    schedule(delay, [this, n, description] {
        int process = m_sides[n].process;
        // The address of the side may still be that of a former process.
        if (!m_sides[n].formerProcesses.empty() && chanceOf(m_overlapRandom, 0.5))
            process = m_sides[n].formerProcesses.rbegin()->first;
        withAgent(n, process, [this, description](HostAgent& agent, Actions& actions) {
            agent.onAnnouncement(at(m_now), description, actions);
        });
    });
}

void OrderSimulation::stepOwner(OwnerModel& model)
{
    if (m_now < model.frozenUntil)
        return;
    while (!model.backlog.empty()) {
        std::map<LinkId, std::deque<std::function<void()>>>::iterator it = model.backlog.begin();
        std::advance(it, randomBelow(static_cast<int>(model.backlog.size())));
        const std::function<void()> deliver = std::move(it->second.front());
        it->second.pop_front();
        if (it->second.empty())
            model.backlog.erase(it);
        deliver();
    }
    if (model.zoneReader)
        model.zoneReader->step(m_now, m_now >= m_storeUnavailableUntil, *model.owner);
    Actions actions;
    model.owner->tick(at(m_now), m_now, actions);
    const std::optional<AppendToStore> append
        = m_now < m_storeUnavailableUntil ? std::nullopt : model.owner->nextAppend(at(m_now));
    if (append) {
        AppendResponse response = m_store.append(*append);
        if (!m_faultFree && chance(0.05))
            response.outcome = AppendOutcome::Uncertain;
        model.owner->onAppendResponse(at(m_now), response, actions);
    }
    const bool newest = model.term == m_owners.back().term;
    if (newest && m_now >= m_storeUnavailableUntil && m_now % 100 == 0)
        model.owner->onPulseConfirmed(at(m_now));
    performOwner(model.term, std::move(actions));
}

void OrderSimulation::step()
{
    m_now += stepMilliseconds;
    if (m_options.zoneClosures)
        m_zones.step(m_now);
    while (!m_events.empty() && m_events.begin()->first <= m_now) {
        const std::function<void()> event = std::move(m_events.begin()->second);
        m_events.erase(m_events.begin());
        event();
    }
    for (std::size_t n = 0; n < m_sides.size(); ++n) {
        stepHost(n);
        Actions actions;
        m_sides[n].agent->tick(at(m_now), actions);
        performSide(n, m_sides[n].process, std::move(actions));
        stepFormerProcesses(n);
    }
    for (std::size_t n = 0; n < m_owners.size(); ++n)
        stepOwner(m_owners[n]);
    std::erase_if(m_owners, [](const OwnerModel& model) { return model.owner->isFenced(); });
    if (m_owners.empty())
        changeOwner();
    checkAnswers();
}

bool OrderSimulation::holdsBackMessages() const
{
    return std::any_of(
        m_connections.begin(), m_connections.end(), [this](const std::pair<const LinkId, Connection>& it) {
            const Connection& connection = it.second;
            return !connection.closed
                && std::max(connection.lastToOwner, connection.lastToSide) > m_now + ordinaryDelayMilliseconds;
        });
}

void OrderSimulation::checkAnswers()
{
    OwnerModel& model = m_owners.back();
    if (model.term != m_lastTerm || m_now < model.frozenUntil)
        return;
    OwnerConditions conditions;
    conditions.now = m_now;
    conditions.term = model.term;
    conditions.isStoreAvailable = m_now >= m_storeUnavailableUntil;
    conditions.hasListedAllHosts = m_faultFree && !holdsBackMessages()
        && std::all_of(
            m_sides.begin(), m_sides.end(), [this](const Side& side) { return side.hostUp && findListedHost(side); });
    m_answerCheck.check(*model.owner, conditions);
}

OrderSimulation::OwnerModel* OrderSimulation::findOwner(std::int64_t term)
{
    for (OwnerModel& model : m_owners) {
        if (model.term == term)
            return &model;
    }
    return nullptr;
}

std::vector<StoreRecord> OrderSimulation::newestRecords()
{
    ReadNewest call;
    call.topic = StoreTopic::Jobs;
    return m_store.newest(call).records;
}

// The network.

void OrderSimulation::open(std::size_t n, int process, const OpenLink& order)
{
    const std::int64_t term = order.port;
    schedule(2 + std::max(0, m_sides[n].unreachableUntil - m_now), [this, n, process, term, sideLink = order.link] {
        withAgent(n, process, [this, n, process, term, sideLink](HostAgent& agent, Actions& actions) {
            if (!findOwner(term)) {
                agent.onLinkDown(at(m_now), sideLink, actions);
                return;
            }
            Connection connection;
            connection.side = n;
            connection.process = process;
            connection.term = term;
            connection.sideLink = sideLink;
            m_connections[++m_lastLink] = connection;
            agent.onLinkUp(at(m_now), sideLink, actions);
        });
    });
}

void OrderSimulation::close(std::size_t n, int process, LinkId sideLink)
{
    for (std::pair<const LinkId, Connection>& entry : m_connections) {
        Connection& connection = entry.second;
        if (connection.side != n || connection.process != process || connection.sideLink != sideLink
            || connection.closed)
            continue;
        const LinkId link = entry.first;
        sendToOwner(link, [this, link](JobOwner& owner, Actions&) { owner.onLinkDown(at(m_now), link); });
        connection.closed = true;
    }
}

void OrderSimulation::closeByOwner(LinkId link)
{
    Connection& connection = m_connections[link];
    if (connection.closed)
        return;
    connection.closed = true;
    schedule(2, [this, n = connection.side, process = connection.process, sideLink = connection.sideLink] {
        withAgent(n, process,
            [this, sideLink](HostAgent& agent, Actions& actions) { agent.onLinkDown(at(m_now), sideLink, actions); });
    });
}

void OrderSimulation::sendToOwner(LinkId link, std::function<void(JobOwner&, Actions&)> deliver)
{
    Connection& connection = m_connections[link];
    const int arrives = std::max(m_now, m_sides[connection.side].unreachableUntil) + 1 + randomBelow(8)
        + slowDelay(connection.side, 600);
    connection.lastToOwner = std::max(connection.lastToOwner, arrives);
    m_events.emplace(connection.lastToOwner,
        [this, term = connection.term, link, deliver = std::move(deliver)] { deliverToOwner(term, link, deliver); });
}

void OrderSimulation::deliverToOwner(
    std::int64_t term, LinkId link, const std::function<void(JobOwner&, Actions&)>& deliver)
{
    OwnerModel* model = findOwner(term);
    if (!model)
        return;
    const std::function<void()> read = [this, term, deliver] {
        if (OwnerModel* reader = findOwner(term)) {
            Actions actions;
            deliver(*reader->owner, actions);
            performOwner(term, std::move(actions));
        }
    };
    if (m_now < model->frozenUntil || model->backlog.contains(link))
        model->backlog[link].push_back(read);
    else
        read();
}

void OrderSimulation::sendToSide(LinkId link, PeerMessage message)
{
    std::map<LinkId, Connection>::iterator it = m_connections.find(link);
    if (it == m_connections.end() || it->second.closed)
        return;
    Connection& connection = it->second;
    const int arrives = std::max(m_now, m_sides[connection.side].unreachableUntil) + 1 + randomBelow(8)
        + slowDelay(connection.side, 600);
    connection.lastToSide = std::max(connection.lastToSide, arrives);
    m_events.emplace(connection.lastToSide, [this, connection, message = std::move(message)] {
        withAgent(connection.side, connection.process,
            [this, link = connection.sideLink, message](
                HostAgent& agent, Actions& actions) { agent.onMessage(at(m_now), link, message, actions); });
    });
}

void OrderSimulation::readClaims(
    std::size_t n, int process, std::uint64_t callId, std::int64_t from, bool newest, int until)
{
    const std::int64_t end = static_cast<std::int64_t>(m_claims.size());
    if (!newest && from >= end && m_now < until) {
        schedule(20, [=, this] {
            if (findAgent(n, process))
                readClaims(n, process, callId, from, newest, until);
        });
        return;
    }
    schedule(4, [=, this] {
        const bool answered = m_now >= m_storeUnavailableUntil && m_now >= m_sides[n].unreachableUntil;
        std::vector<StoreRecord> records;
        for (std::int64_t k = from; k < end; ++k)
            records.push_back(m_claims[static_cast<std::size_t>(k)]);
        withAgent(n, process, [=, this](HostAgent& agent, Actions& actions) {
            if (newest) {
                NewestResponse response;
                response.answered = answered;
                response.endOffset = end;
                if (!m_claims.empty())
                    response.records.push_back(m_claims.back());
                agent.onNewestResponse(at(m_now), callId, response, actions);
            } else {
                ReadResponse response;
                response.answered = answered;
                response.endOffset = end;
                response.records = records;
                agent.onReadResponse(at(m_now), callId, response, actions);
            }
        });
    });
}

// Orders to hosts.

bool OrderSimulation::acceptsLateOrders(std::size_t n) const
{
    return m_sides[n].hostUp && (m_options.restarts == HostRestarts::Immediate || m_sides[n].host->fence() > 0);
}

bool OrderSimulation::isConnectionBroken(std::size_t n, std::int64_t calledIncarnation) const
{
    return m_sides[n].hostUp && m_sides[n].host->incarnation() != calledIncarnation && !acceptsLateOrders(n);
}

bool OrderSimulation::isConnectionRefused(std::size_t n)
{
    // Connections that the side has kept open still reach a host that refuses new ones.
    constexpr double refusedShare = 0.8;
    return !m_sides[n].hostUp || (m_now < m_sides[n].refusesConnectionsUntil && chance(refusedShare));
}

void OrderSimulation::respondToSide(std::size_t n, int process, int delay, const HostResponse& response,
    const std::function<void(HostAgent&, const HostResponse&, Actions&)>& answer)
{
    schedule(delay + slowDelay(n, 350), [this, n, process, response, answer] {
        withAgent(
            n, process, [response, answer](HostAgent& agent, Actions& actions) { answer(agent, response, actions); });
    });
}

void OrderSimulation::callHost(std::size_t n, int process, const std::string& hostId,
    const std::function<HostResponse(VirtualHost&)>& executeOrder,
    const std::function<void(HostAgent&, const HostResponse&, Actions&)>& answer)
{
    const auto execute = [hostId, executeOrder](VirtualHost& host) {
        HostResponse response;
        response.answer = HostAnswer::OtherIncarnation;
        return host.hostId() == hostId ? executeOrder(host) : response;
    };
    HostResponse response;
    if (m_now < m_ordersLateUntil && chance(0.4)) {
        // The incarnation of the host that exists at that time executes the order.
        const int delay = chance(0.8) ? 2000 + randomBelow(10'000) : unlimitedMilliseconds;
        schedule(delay, [this, n, execute] {
            if (acceptsLateOrders(n))
                execute(*m_sides[n].host);
        });
        respondToSide(n, process, callTimeoutMilliseconds, response, answer);
        return;
    }
    const int slow = slowDelay(n, 300);
    const std::int64_t incarnation = m_sides[n].host->incarnation();
    schedule(randomBelow(3) + slow, [this, n, process, execute, answer, slow, incarnation] {
        HostResponse response;
        if (slow > 0 && isConnectionBroken(n, incarnation)) {
            respondToSide(n, process, 1, response, answer);
            return;
        }
        if (isConnectionRefused(n)) {
            response.answer = HostAnswer::NotListening;
            respondToSide(n, process, 1, response, answer);
            return;
        }
        response = execute(*m_sides[n].host);
        if (!m_faultFree && chance(0.01)) {
            response = HostResponse {};
            respondToSide(n, process, callTimeoutMilliseconds, response, answer);
            return;
        }
        respondToSide(n, process, randomBelow(4), response, answer);
    });
}

HostResponse OrderSimulation::executeList(VirtualHost& host, const ListHost& order) const
{
    HostResponse response;
    if (host.hostId() != order.hostId) {
        response.answer = HostAnswer::OtherIncarnation;
        return response;
    }
    response.incarnation = host.incarnation();
    response.clockMilliseconds = host.clock(m_now);
    if (m_trace && host.incarnation() != order.incarnation)
        std::cout << m_now << " " << host.hostId() << " incarnation " << host.incarnation() << " fence " << host.fence()
                  << " gets a list for " << order.incarnation << " fence " << order.fence << " acknowledged "
                  << order.acknowledgedNumber << "\n";
    if (!host.renewLease(m_now, order.fence, order.leaseUntilMilliseconds, order.acknowledgedNumber)) {
        response.answer = HostAnswer::Refused;
        response.reason = "fence";
        return response;
    }
    response.answer = HostAnswer::Done;
    Wire::HostReport report;
    host.addListing(report);
    response.running = report.running;
    response.ended = report.ended;
    if (m_options.largeFleet && response.ended.size() > maximumListedEnds) {
        response.ended.resize(maximumListedEnds);
        response.isIncomplete = true;
    }
    return response;
}

void OrderSimulation::listHost(std::size_t n, int process, const ListHost& order)
{
    const int wait = static_cast<int>(toMilliseconds(order.wait));
    if (m_now < m_ordersLateUntil && chance(0.4)) {
        schedule(2000 + randomBelow(10'000), [this, n, order] {
            if (acceptsLateOrders(n))
                executeList(*m_sides[n].host, order);
        });
        respondToList(n, process, wait + listMarginMilliseconds, order, HostResponse {});
        return;
    }
    // The lease and the acknowledgement take effect on arrival; the response waits for an end of a run.
    const int slow = slowDelay(n, 300);
    const std::int64_t called = m_sides[n].host->incarnation();
    schedule(1 + slow, [this, n, order, process, wait, slow, called] {
        if (slow > 0 && isConnectionBroken(n, called)) {
            respondToList(n, process, 1, order, HostResponse {});
            return;
        }
        const bool refused = isConnectionRefused(n);
        if (!refused)
            executeList(*m_sides[n].host, order);
        const std::int64_t incarnation = refused ? 0 : m_sides[n].host->incarnation();
        awaitEnd(n, process, incarnation, m_now + wait, order);
    });
}

void OrderSimulation::awaitEnd(std::size_t n, int process, std::int64_t incarnation, int until, const ListHost& order)
{
    const Side& side = m_sides[n];
    if (incarnation == 0) {
        HostResponse response;
        response.answer = HostAnswer::NotListening;
        respondToList(n, process, 1, order, response);
    } else if (!side.hostUp || side.host->incarnation() != incarnation) {
        respondToList(n, process, 1, order, HostResponse {});
    } else if (side.host->hasUnacknowledgedEnds() || m_now >= until) {
        respondToList(n, process, randomBelow(3), order, executeList(*side.host, order));
    } else {
        schedule(stepMilliseconds, [=, this] { awaitEnd(n, process, incarnation, until, order); });
    }
}

void OrderSimulation::respondToList(
    std::size_t n, int process, int delay, const ListHost& order, const HostResponse& response)
{
    respondToSide(
        n, process, delay, response, [this, order](HostAgent& agent, const HostResponse& listResponse, Actions& more) {
            agent.onListResponse(at(m_now), order, listResponse, more);
        });
}

void OrderSimulation::performSide(std::size_t n, int process, Actions&& actions)
{
    for (Action& action : actions) {
        if (const WriteLog* line = std::get_if<WriteLog>(&action)) {
            if (m_trace)
                std::cout << m_now << " side " << n << " process " << process << " " << line->line << "\n";
        } else if (const OpenLink* order = std::get_if<OpenLink>(&action)) {
            open(n, process, *order);
        } else if (const CloseLink* order = std::get_if<CloseLink>(&action)) {
            close(n, process, order->link);
        } else if (const ReadNewest* read = std::get_if<ReadNewest>(&action)) {
            readClaims(n, process, read->callId, 0, true, m_now);
        } else if (const ReadStore* read = std::get_if<ReadStore>(&action)) {
            readClaims(n, process, read->callId, read->fromOffset, false,
                m_now + static_cast<int>(toMilliseconds(read->wait)));
        } else if (const ListHost* order = std::get_if<ListHost>(&action)) {
            listHost(n, process, *order);
        } else if (const StartOnHost* order = std::get_if<StartOnHost>(&action)) {
            const bool isLongRunning = order->order.task.jobId.starts_with("lasting");
            const Wire::RunEnd::type how = chance(0.15) ? Wire::RunEnd::Failed : Wire::RunEnd::Completed;
            const int durationMilliseconds = isLongRunning
                ? (m_faultFree || chance(0.7) ? unlimitedMilliseconds : randomBelow(4000))
                : 20 + randomBelow(600);
            const std::int64_t milliCores = isLongRunning ? 500 : 1000;
            callHost(
                n, process, order->hostId,
                [this, n, order = *order, how, durationMilliseconds, isLongRunning, milliCores](VirtualHost& host) {
                    HostResponse response;
                    response.clockMilliseconds = host.clock(m_now);
                    if (m_trace)
                        std::cout << m_now << " " << host.hostId() << " incarnation " << host.incarnation() << " fence "
                                  << host.fence() << " gets a start for " << order.incarnation << " fence "
                                  << order.fence << " of " << order.order.task.jobId << " task "
                                  << order.order.task.index << " run " << order.order.run << "\n";
                    if (m_now < m_sides[n].refusesStartsUntil) {
                        response.answer = HostAnswer::Refused;
                        response.reason = "unhealthy";
                        return response;
                    }
                    response.reason = host.start(m_now, order.fence, order.order, order.leaseUntilMilliseconds,
                        durationMilliseconds, isLongRunning ? Wire::RunEnd::Failed : how, milliCores);
                    response.answer = response.reason.empty() ? HostAnswer::Done : HostAnswer::Refused;
                    return response;
                },
                [this, order = *order](HostAgent& agent, const HostResponse& response, Actions& more) {
                    agent.onStartResponse(at(m_now), order, response, more);
                });
        } else if (const HaltOnHost* order = std::get_if<HaltOnHost>(&action)) {
            callHost(
                n, process, order->hostId,
                [this, order = *order](VirtualHost& host) {
                    HostResponse response;
                    const bool done = host.stop(m_now, order.fence, order.order.task, order.order.run);
                    response.answer = done ? HostAnswer::Done : HostAnswer::Refused;
                    response.reason = done ? "" : "fence";
                    return response;
                },
                [this, order = *order](HostAgent& agent, const HostResponse& response, Actions& more) {
                    agent.onHaltResponse(at(m_now), order, response, more);
                });
        } else if (const SendMessage* send = std::get_if<SendMessage>(&action)) {
            for (const std::pair<const LinkId, Connection>& entry : m_connections) {
                const Connection& connection = entry.second;
                if (connection.side != n || connection.sideLink != send->link || connection.closed
                    || connection.process != process)
                    continue;
                const LinkId link = entry.first;
                const Wire::NodeHello* hello = std::get_if<Wire::NodeHello>(&send->message);
                if (hello && hello->term > connection.term) {
                    // The farewell is lost with the connection: these histories are about former owners that go on.
                    close(n, process, connection.sideLink);
                    break;
                }
                if (const Wire::HostReport* report = std::get_if<Wire::HostReport>(&send->message))
                    sendToOwner(link, [this, link, report = *report](JobOwner& owner, Actions& more) {
                        owner.onReport(at(m_now), link, report, more);
                    });
                if (const Wire::Ping* ping = std::get_if<Wire::Ping>(&send->message))
                    sendToOwner(link, [this, link, number = ping->number](JobOwner&, Actions& more) {
                        Wire::Pong pong;
                        pong.number = number;
                        more.push_back(SendMessage { link, pong });
                    });
                break;
            }
        }
    }
}

void OrderSimulation::performOwner(std::int64_t term, Actions&& actions)
{
    for (Action& action : actions) {
        if (const WriteLog* line = std::get_if<WriteLog>(&action)) {
            if (m_trace)
                std::cout << m_now << " term " << term << " " << line->line << "\n";
        } else if (SendMessage* send = std::get_if<SendMessage>(&action)) {
            if (const Wire::HostOrders* orders = std::get_if<Wire::HostOrders>(&send->message))
                m_zones.onOrders(m_now, *orders);
            sendToSide(send->link, std::move(send->message));
        } else if (const CloseLink* order = std::get_if<CloseLink>(&action)) {
            closeByOwner(order->link);
        } else if (const AnswerJobCall* answer = std::get_if<AnswerJobCall>(&action)) {
            m_answerCheck.onAnswer(*answer);
        }
    }
}

// The checks.

std::vector<std::string> OrderSimulation::violations() const
{
    std::vector<std::string> violations = m_answerCheck.violations();
    violations.insert(violations.end(), m_zones.orderViolations().begin(), m_zones.orderViolations().end());
    for (const RunRecord& record : m_records) {
        checkStart(record, violations);
        m_zones.checkStart(record, violations);
    }
    for (const Wire::JobDefinition& job : m_jobs)
        checkOutcome(job, violations);
    for (const Side& side : m_sides)
        checkRecordedRuns(side, violations);
    return violations;
}

void OrderSimulation::checkStart(const RunRecord& start, std::vector<std::string>& violations) const
{
    if (start.milliCoresInUse > milliCoresPerHost)
        violations.push_back(
            describe(start) + " raised the millicores in use on its host to " + std::to_string(start.milliCoresInUse));
    const bool isLongRunning = start.task.jobId.starts_with("lasting");
    int failures = 0;
    for (const RunRecord& other : m_records) {
        if (&other == &start || !(other.task == start.task))
            continue;
        const bool endedBefore = other.endedAt >= 0 && other.endedAt < start.startedAt;
        failures += endedBefore && other.how == Wire::RunEnd::Failed && other.acknowledged ? 1 : 0;
        if (endedBefore && other.how == Wire::RunEnd::Completed && other.acknowledged)
            violations.push_back(
                describe(start) + " started after run " + std::to_string(other.run) + " had completed");
        if (&other < &start && (other.endedAt < 0 || other.endedAt > start.startedAt))
            violations.push_back(describe(start) + " started while run " + std::to_string(other.run) + " was running");
    }
    if (!isLongRunning && failures >= maximumAttempts)
        violations.push_back(describe(start) + " started after " + std::to_string(failures) + " failed runs");
}

void OrderSimulation::checkOutcome(const Wire::JobDefinition& job, std::vector<std::string>& violations) const
{
    const std::map<std::string, std::unique_ptr<JobState>>& jobs = m_owners.back().owner->state().jobs;
    const std::map<std::string, std::unique_ptr<JobState>>::const_iterator it = jobs.find(job.jobId);
    if (it == jobs.end())
        return;
    if (!job.steps[0].longRunning) {
        if (it->second->isOpen())
            violations.push_back(job.jobId + " is still open");
        return;
    }
    for (int index = 0; index < job.steps[0].count; ++index) {
        const bool runs = std::any_of(m_records.begin(), m_records.end(), [&](const RunRecord& record) {
            return record.task.jobId == job.jobId && record.task.index == index && record.endedAt < 0;
        });
        if (!runs)
            violations.push_back(job.jobId + " task " + std::to_string(index) + " is long-running and does not run");
    }
}

const Host* OrderSimulation::findListedHost(const Side& side) const
{
    const std::map<std::string, Host>& hosts = m_owners.back().owner->state().hosts.hosts();
    const std::map<std::string, Host>::const_iterator it = hosts.find(side.host->hostId());
    const bool isListed = it != hosts.end() && it->second.incarnation == side.host->incarnation()
        && it->second.link != noLink && it->second.listed;
    return isListed ? &it->second : nullptr;
}

std::vector<std::string> OrderSimulation::unlistedHosts() const
{
    std::vector<std::string> unlisted;
    for (const Side& side : m_sides) {
        if (!findListedHost(side))
            unlisted.push_back(side.host->hostId() + " is not listed by the owner");
    }
    return unlisted;
}

void OrderSimulation::checkRecordedRuns(const Side& side, std::vector<std::string>& violations) const
{
    const Host* host = findListedHost(side);
    if (!host)
        return;
    for (const std::pair<const RunKey, HostRun>& entry : host->runs) {
        const HostRun& run = entry.second;
        if (!side.host->isRunning(run.task, run.run))
            violations.push_back(host->hostId + " does not run " + run.task.jobId + " task "
                + std::to_string(run.task.index) + " run " + std::to_string(run.run) + ", which takes up its room");
    }
}

std::string runOrderHistories(unsigned defaultHistories, const HistoryOptions& options)
{
    constexpr int milliseconds = 20'000;
    constexpr std::size_t minimumStartsPerHistory = 100;
    const HistorySeeds seeds = historySeeds(defaultHistories);
    std::string violations;
    std::size_t startedRunCount = 0;
    std::size_t startsInClosingZones = 0;
    for (unsigned seed = seeds.first; seed <= seeds.last; ++seed) {
        OrderSimulation simulation(seed, options);
        simulation.run(milliseconds);
        startedRunCount += simulation.startedRunCount();
        for (const std::string& violation : simulation.violations())
            violations += "seed " + std::to_string(seed) + ": " + violation + "\n";
        startsInClosingZones += simulation.startsInClosingZones();
    }
    if (options.zoneClosures && startsInClosingZones == 0)
        violations += "no zone was closed while tasks started there\n";
    if (startedRunCount < minimumStartsPerHistory * seeds.count())
        violations += "only " + std::to_string(startedRunCount) + " runs were started in all histories\n";
    return violations;
}

} // namespace Plantainpier
