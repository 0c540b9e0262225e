/// Tests the real JobOwner in random histories: tasks fail, owners are replaced while former owners continue, hosts
/// crash or become unreachable, and the store becomes unavailable. The checks use the runs that the hosts
/// carried out, the answers to clients at every step and the final state of the jobs.
#include "Support/HistorySeeds.h"
#include "Support/JobAnswerCheck.h"
#include "Support/JobFixture.h"
#include "Support/VirtualHost.h"
#include "Support/VirtualStore.h"
#include "Support/ZoneHistory.h"

#include <cppunit/extensions/HelperMacros.h>
#include <iostream>
#include <memory>
#include <random>

using namespace Plantainpier;

namespace {

constexpr int hostCount = 4;
constexpr int maximumAttempts = 3;
constexpr int stepMilliseconds = 5;
/// Longer than any lease and the ownership hold, so that every job can finish after the last fault.
constexpr int faultFreeMilliseconds = 45'000;

/// One side: its connection to an owner and the results that it has not reported yet.
struct SideModel {
    LinkId link = noLink;
    /// Term of the owner that the side is connected to.
    std::int64_t term = 0;
    /// The highest fence that the side has received from an owner.
    std::int64_t fence = 0;
    /// The side does not connect to the newest owner before this time.
    int reconnectAt = 0;
    int unreachableUntil = 0;
    int nextListAt = 0;
    std::vector<Wire::OrderResult> results;
    /// Starts whose response was lost; the side halts them.
    std::vector<Wire::StartOrder> unansweredStarts;
};

/// The newest owner, or a former one that has not noticed its replacement yet.
struct OwnerModel {
    std::int64_t term;
    std::unique_ptr<JobOwner> owner;
    std::unique_ptr<ZoneReader> zoneReader;
};

/// Simulates the history of one seed.
class RunHistory {
public:
    explicit RunHistory(unsigned seed, bool closesZones = false)
        : m_random(seed)
        , m_closesZones(closesZones)
        , m_zones(seed + 1)
        , m_sides(hostCount)
    {
        for (int n = 0; n < hostCount; ++n)
            m_hosts.push_back(std::make_unique<VirtualHost>("host-" + std::to_string(n), 1, m_records));
        changeOwner();
    }

    void run(int milliseconds)
    {
        const int end = m_now + milliseconds;
        while (m_now < end) {
            if (m_now % 400 == 0)
                submit();
            if (chance(0.0015))
                changeOwner();
            if (chance(0.001))
                m_sides[randomBelow(hostCount)].unreachableUntil = m_now + static_cast<int>(randomBelow(8000));
            if (chance(0.0005))
                crashHost(randomBelow(hostCount));
            if (chance(0.001))
                m_storeUnavailableUntil = m_now + static_cast<int>(randomBelow(3000));
            step();
        }
        m_faultFree = true;
        m_zones.endFaults(m_now);
        m_storeUnavailableUntil = m_now;
        for (SideModel& side : m_sides)
            side.unreachableUntil = m_now;
        for (int until = m_now + faultFreeMilliseconds; m_now < until;)
            step();
    }

    std::vector<std::string> violations() const
    {
        std::vector<std::string> violations = m_answerCheck.violations();
        violations.insert(violations.end(), m_zones.orderViolations().begin(), m_zones.orderViolations().end());
        for (const RunRecord& record : m_records) {
            checkStart(record, violations);
            m_zones.checkStart(record, violations);
        }
        for (const Wire::JobDefinition& job : m_jobs)
            checkOutcome(job, violations);
        return violations;
    }
    std::size_t starts() const { return m_records.size(); }
    std::size_t startsInClosingZones() const { return m_zones.countStartsWithinBound(m_records); }

private:
    bool chance(double share) { return std::uniform_real_distribution<double>(0, 1)(m_random) < share; }
    std::size_t randomBelow(std::size_t count) { return m_random() % count; }

    void submit()
    {
        Wire::StepDefinition step = makeStep(1 + static_cast<int>(randomBelow(2)), 1000, 200);
        Wire::JobDefinition job = makeJob("job-" + std::to_string(m_jobs.size()), { step });
        job.maximumAttempts = maximumAttempts;
        Actions actions;
        m_owners.back().owner->onCall(
            at(m_now), CallOrigin { noLink, m_jobs.size() }, makeCall(Wire::JobCallKind::Submit, job), actions);
        m_answerCheck.onSubmit(m_jobs.size(), job);
        m_jobs.push_back(job);
        perform(m_owners.back().term, actions);
    }

    /// Starts a new owner; a former one may continue without noticing.
    void changeOwner()
    {
        const std::int64_t term = m_owners.empty() ? 1 : m_owners.back().term + 1;
        if (chance(0.5))
            m_owners.clear();
        AppendToStore fence;
        fence.topic = StoreTopic::Jobs;
        fence.epoch = term;
        m_store.append(fence);
        const OwnerRules rules = m_closesZones ? ZoneHistory::ownerRules() : OwnerRules {};
        OwnerModel next { term, std::make_unique<JobOwner>("entry", term, rules, at(m_now)),
            m_closesZones ? std::make_unique<ZoneReader>(m_zones) : nullptr };
        next.owner->loadRecords(newestRecords());
        Actions actions;
        const Duration hold = withClockMargin(OwnerRules {}.ownershipHold);
        next.owner->finishLoad(at(m_now), m_now, at(m_now) + hold, actions);
        m_owners.push_back(std::move(next));
        for (SideModel& side : m_sides)
            side.reconnectAt = m_now + static_cast<int>(randomBelow(chance(0.2) ? 4000 : 50));
    }

    void crashHost(std::size_t n)
    {
        m_hosts[n]->crash(m_now);
        m_hosts[n] = std::make_unique<VirtualHost>(m_hosts[n]->hostId(), m_hosts[n]->incarnation() + 1, m_records);
        m_sides[n].results.clear();
        m_sides[n].unansweredStarts.clear();
    }

    void step()
    {
        m_now += stepMilliseconds;
        if (m_closesZones)
            m_zones.step(m_now);
        for (std::unique_ptr<VirtualHost>& host : m_hosts)
            host->tick(m_now);
        for (std::size_t n = 0; n < m_sides.size(); ++n)
            stepSide(n);
        for (OwnerModel& model : m_owners) {
            if (model.zoneReader)
                model.zoneReader->step(m_now, m_now >= m_storeUnavailableUntil, *model.owner);
            Actions actions;
            model.owner->tick(at(m_now), m_now, actions);
            perform(model.term, actions);
            storePendingAppend(model);
            // An owner that holds back all starts appends nothing that could confirm its ownership.
            if (m_closesZones && m_now >= m_storeUnavailableUntil && model.term == m_owners.back().term)
                model.owner->onPulseConfirmed(at(m_now));
        }
        const bool newestIsFenced = m_owners.back().owner->isFenced();
        CPPUNIT_ASSERT_MESSAGE("the newest owner is not fenced", !newestIsFenced);
        std::erase_if(m_owners, [](const OwnerModel& model) { return model.owner->isFenced(); });
        OwnerConditions conditions;
        conditions.now = m_now;
        conditions.term = m_owners.back().term;
        conditions.isStoreAvailable = m_now >= m_storeUnavailableUntil;
        conditions.hasListedAllHosts = m_faultFree && hasListedAllHosts();
        m_answerCheck.check(*m_owners.back().owner, conditions);
    }

    bool hasListedAllHosts() const
    {
        const std::map<std::string, Host>& known = m_owners.back().owner->state().hosts.hosts();
        return std::all_of(m_hosts.begin(), m_hosts.end(), [&known](const std::unique_ptr<VirtualHost>& host) {
            const std::map<std::string, Host>::const_iterator it = known.find(host->hostId());
            return it != known.end() && it->second.incarnation == host->incarnation() && it->second.link != noLink
                && it->second.listed;
        });
    }

    void storePendingAppend(OwnerModel& model)
    {
        if (m_now < m_storeUnavailableUntil)
            return;
        const std::optional<AppendToStore> append = model.owner->nextAppend(at(m_now));
        if (!append)
            return;
        AppendResponse response = m_store.append(*append);
        if (!m_faultFree && chance(0.05))
            response.outcome = AppendOutcome::Uncertain;
        Actions actions;
        model.owner->onAppendResponse(at(m_now), response, actions);
        if (response.outcome == AppendOutcome::Stored)
            model.owner->onPulseConfirmed(at(m_now));
        perform(model.term, actions);
    }

    OwnerModel* findOwner(std::int64_t term)
    {
        for (OwnerModel& model : m_owners) {
            if (model.term == term)
                return &model;
        }
        return nullptr;
    }

    void stepSide(std::size_t n)
    {
        SideModel& side = m_sides[n];
        VirtualHost& host = *m_hosts[n];
        const bool mustReconnect = side.term < m_owners.back().term && m_now >= side.reconnectAt;
        OwnerModel* owner = findOwner(side.term);
        if (side.link != noLink && (!owner || mustReconnect || m_now < side.unreachableUntil)) {
            if (owner)
                owner->owner->onLinkDown(at(m_now), side.link);
            side.link = noLink;
        }
        if (m_now < side.unreachableUntil)
            return;
        if (side.link == noLink) {
            if (!mustReconnect && !owner)
                return;
            side.term = mustReconnect ? m_owners.back().term : side.term;
            side.link = ++m_lastLink;
            side.nextListAt = m_now;
            // Over a new connection, the host first receives a call with the fence of the side, without a lease.
            host.renewLease(m_now, side.fence, 0, 0);
        }
        if (m_now < side.nextListAt)
            return;
        side.nextListAt = m_now + 10 + static_cast<int>(randomBelow(60));
        Wire::HostReport report = makeReport(host.hostId(), host.incarnation(), m_now);
        report.zone = ZoneHistory::zoneOfHost(host.hostId());
        report.highestTerm = std::min(host.fence() / fencesPerTerm, side.term);
        report.listFence = side.fence;
        host.addListing(report);
        report.results.swap(side.results);
        for (const Wire::StartOrder& order : side.unansweredStarts) {
            host.stop(m_now, side.fence, order.task, order.run);
            if (!host.isRunning(order.task, order.run) && !host.hasUnacknowledgedEnd(order.task, order.run))
                report.results.push_back(result(order, Wire::OrderOutcome::Absent, "stopped_before_it_ran"));
        }
        side.unansweredStarts.clear();
        Actions actions;
        findOwner(side.term)->owner->onReport(at(m_now), side.link, report, actions);
        perform(side.term, actions);
    }

    static Wire::OrderResult result(
        const Wire::StartOrder& order, Wire::OrderOutcome::type outcome, const std::string& reason)
    {
        Wire::OrderResult result;
        result.task = order.task;
        result.run = order.run;
        result.outcome = outcome;
        result.reason = reason;
        return result;
    }

    /// Carries out the actions of an owner.
    void perform(std::int64_t term, const Actions& actions)
    {
        if (m_trace) {
            for (const WriteLog& line : actionsOf<WriteLog>(actions))
                std::cout << m_now << " term " << term << " " << line.line << "\n";
        }
        for (const AnswerJobCall& answer : actionsOf<AnswerJobCall>(actions))
            m_answerCheck.onAnswer(answer);
        for (const SendMessage& send : actionsOf<SendMessage>(actions)) {
            const Wire::HostOrders* orders = std::get_if<Wire::HostOrders>(&send.message);
            if (orders)
                m_zones.onOrders(m_now, *orders);
            for (std::size_t n = 0; orders && n < m_sides.size(); ++n) {
                if (m_sides[n].link == send.link && m_sides[n].term == term)
                    carryOut(n, *orders);
            }
        }
    }

    void carryOut(std::size_t n, const Wire::HostOrders& orders)
    {
        VirtualHost& host = *m_hosts[n];
        if (orders.incarnation != host.incarnation())
            return;
        m_sides[n].fence = std::max(m_sides[n].fence, orders.fence);
        host.renewLease(m_now, orders.fence, orders.leaseUntilMilliseconds, orders.acknowledgedNumber);
        for (const Wire::StartOrder& order : orders.starts) {
            const bool responseLost = !m_faultFree && chance(0.05);
            if (responseLost)
                m_sides[n].unansweredStarts.push_back(order);
            if (responseLost && chance(0.5))
                continue;
            const Wire::RunEnd::type end
                = chance(m_faultFree ? 0.05 : 0.45) ? Wire::RunEnd::Failed : Wire::RunEnd::Completed;
            const std::string refused = host.start(m_now, orders.fence, order, orders.leaseUntilMilliseconds,
                20 + static_cast<int>(randomBelow(600)), end);
            if (!responseLost)
                m_sides[n].results.push_back(result(
                    order, refused.empty() ? Wire::OrderOutcome::Started : Wire::OrderOutcome::Refused, refused));
        }
        for (const Wire::HaltOrder& halt : orders.halts) {
            host.stop(m_now, orders.fence, halt.task, halt.run);
            Wire::StartOrder order;
            order.task = halt.task;
            order.run = halt.run;
            if (!host.hasUnacknowledgedEnd(halt.task, halt.run))
                m_sides[n].results.push_back(result(order, Wire::OrderOutcome::Absent, "stopped_before_it_ran"));
        }
    }

    std::vector<StoreRecord> newestRecords()
    {
        ReadNewest call;
        call.topic = StoreTopic::Jobs;
        std::vector<StoreRecord> records;
        for (bool more = true; more;) {
            const NewestResponse page = m_store.newest(call);
            records.insert(records.end(), page.records.begin(), page.records.end());
            more = page.more && !page.records.empty();
            if (more)
                call.afterKey = page.records.back().key;
        }
        return records;
    }

    void checkStart(const RunRecord& start, std::vector<std::string>& violations) const
    {
        int failures = 0;
        for (const RunRecord& other : m_records) {
            if (&other == &start || !(other.task == start.task))
                continue;
            const bool endedBefore = other.endedAt >= 0 && other.endedAt < start.startedAt;
            failures += endedBefore && other.how == Wire::RunEnd::Failed && other.acknowledged ? 1 : 0;
            if (endedBefore && other.how == Wire::RunEnd::Completed && other.acknowledged)
                violations.push_back(
                    describe(start) + " started after run " + std::to_string(other.run) + " had completed");
            if (other.startedAt <= start.startedAt && (other.endedAt < 0 || other.endedAt > start.startedAt)
                && &other < &start)
                violations.push_back(
                    describe(start) + " started while run " + std::to_string(other.run) + " was running");
        }
        if (failures >= maximumAttempts)
            violations.push_back(describe(start) + " started after " + std::to_string(failures) + " failed runs");
    }

    /// Checks that the job, if it was stored, has ended as completed or failed in agreement with its runs.
    void checkOutcome(const Wire::JobDefinition& job, std::vector<std::string>& violations) const
    {
        const std::map<std::string, std::unique_ptr<JobState>>& jobs = m_owners.back().owner->state().jobs;
        const std::map<std::string, std::unique_ptr<JobState>>::const_iterator it = jobs.find(job.jobId);
        if (it == jobs.end())
            return;
        int maximumFailures = 0;
        std::vector<int> failures(static_cast<std::size_t>(job.steps[0].count));
        std::vector<bool> completed(failures.size());
        for (const RunRecord& record : m_records) {
            if (record.task.jobId != job.jobId || record.endedAt < 0)
                continue;
            const std::size_t index = static_cast<std::size_t>(record.task.index);
            if (record.how == Wire::RunEnd::Failed)
                maximumFailures = std::max(maximumFailures, ++failures[index]);
            completed[index] = completed[index] || record.how == Wire::RunEnd::Completed;
        }
        const bool allCompleted = std::all_of(completed.begin(), completed.end(), [](bool one) { return one; });
        if (it->second->isOpen())
            violations.push_back(job.jobId + " is still open");
        if (it->second->outcome() == Wire::JobOutcome::Completed && !allCompleted)
            violations.push_back(job.jobId + " is reported as completed although not all of its tasks completed");
        if (it->second->outcome() == Wire::JobOutcome::Failed && maximumFailures < maximumAttempts)
            violations.push_back(
                job.jobId + " is reported as failed after " + std::to_string(maximumFailures) + " failures");
    }

    static std::string describe(const RunRecord& record)
    {
        return record.task.jobId + " task " + std::to_string(record.task.index) + " run " + std::to_string(record.run)
            + " at " + std::to_string(record.startedAt);
    }

    std::mt19937 m_random;
    const bool m_closesZones;
    /// Draws from a generator of its own, so that the other faults of a seed stay as they are.
    ZoneHistory m_zones;
    /// Prints the log lines of the owners.
    const bool m_trace = std::getenv("PLANTAINPIER_TRACE") != nullptr;
    int m_now = 0;
    bool m_faultFree = false;
    int m_storeUnavailableUntil = 0;
    LinkId m_lastLink = 100;
    VirtualStore m_store;
    std::vector<RunRecord> m_records;
    std::vector<std::unique_ptr<VirtualHost>> m_hosts;
    std::vector<SideModel> m_sides;
    std::vector<OwnerModel> m_owners;
    std::vector<Wire::JobDefinition> m_jobs;
    JobAnswerCheck m_answerCheck { m_records };
};

} // namespace

class RunHistoryTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RunHistoryTest);
    CPPUNIT_TEST(attemptsAreCountedAcrossOwnerChanges);
    CPPUNIT_TEST(nothingStartsInClosedZones);
    CPPUNIT_TEST_SUITE_END();

    // Guards against ends of runs that are reported but not counted. They cause starts beyond the permitted attempts,
    // starts after or beside a completed run, and jobs that stay open or have a wrong outcome. Also guards against
    // answers to clients that take a start that was ordered for one that a host has carried out.
    void attemptsAreCountedAcrossOwnerChanges()
    {
        const HistorySeeds seeds = historySeeds(300);
        constexpr int milliseconds = 20'000;
        std::string violations;
        for (unsigned seed = seeds.first; seed <= seeds.last; ++seed) {
            RunHistory history(seed);
            history.run(milliseconds);
            CPPUNIT_ASSERT_MESSAGE("the history starts more than 40 runs", history.starts() > 40);
            for (const std::string& violation : history.violations())
                violations += "seed " + std::to_string(seed) + ": " + violation + "\n";
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), violations);
    }

    // Guards against starts in a zone that an operator has closed, across changes of the owner and by owners that are
    // cut off from the store.
    void nothingStartsInClosedZones()
    {
        const HistorySeeds seeds = historySeeds(100);
        constexpr int milliseconds = 20'000;
        std::string violations;
        std::size_t startsInClosingZones = 0;
        for (unsigned seed = seeds.first; seed <= seeds.last; ++seed) {
            RunHistory history(seed, true);
            history.run(milliseconds);
            startsInClosingZones += history.startsInClosingZones();
            for (const std::string& violation : history.violations())
                violations += "seed " + std::to_string(seed) + ": " + violation + "\n";
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), violations);
        CPPUNIT_ASSERT_MESSAGE("a zone was closed while tasks started there", startsInClosingZones > 0);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RunHistoryTest);
