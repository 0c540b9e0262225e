/// Simulates in virtual time hosts in racks whose tasks take longer away from their data or group, and drives a
/// JobOwner with their reports. Used by LocalityLoadTest.
#pragma once

#include "Support/JobFixture.h"
#include "Support/VirtualHost.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Plantainpier {

/// A job that is submitted at a time in milliseconds. Its tasks really take this long near their data or group.
struct RackedJob {
    int submitAt = 0;
    Wire::JobDefinition definition;
    int durationMilliseconds = 0;
    /// Jobs that count in the results; others only take room.
    bool isJudged = true;
};

/// Sums over the judged jobs.
struct RackedResult {
    int jobs = 0;
    int completedJobs = 0;
    int jobsOnTime = 0;
    int tasks = 0;
    int tasksAway = 0;
    /// Time from submission to the end, and what it exceeds the same with every task started at once near its data.
    double meanJobMilliseconds = 0;
    /// Time by which runs were longer since they were away.
    double lostToRemoteSeconds = 0;
    double waitedSeconds = 0;
    /// Largest time by which a wait exceeded its gain, as logged.
    int longestExcessMilliseconds = 0;
};

/// The hosts, each with four cores, in racks named rack-0, rack-1 and so on.
class RackedFleet {
public:
    RackedFleet(const OwnerRules& rules, double remoteFactor, int racks, int hostsPerRack)
        : harness(1, rules)
        , m_remoteFactor(remoteFactor)
    {
        for (int n = 0; n < racks * hostsPerRack; ++n) {
            Node node;
            node.rack = "rack-" + std::to_string(n / hostsPerRack);
            const std::string id = "host-" + std::to_string(100 + n);
            node.host = std::make_unique<VirtualHost>(id, 1, m_records);
            m_nodes.emplace(id, std::move(node));
        }
        for (std::pair<const std::string, Node>& entry : m_nodes)
            report(entry.second, true);
        harness.settle(0);
    }

    /// Calls at the given times of the history, for events other than submissions.
    std::function<void(int now, RackedFleet&)> onStep;

    void setDraining(const std::string& rack)
    {
        for (std::pair<const std::string, Node>& entry : m_nodes)
            entry.second.draining = entry.second.draining || entry.second.rack == rack;
    }

    /// The hosts of the rack report no more.
    void silence(const std::string& rack)
    {
        for (std::pair<const std::string, Node>& entry : m_nodes)
            entry.second.silent = entry.second.silent || entry.second.rack == rack;
    }

    RackedResult run(std::vector<RackedJob> jobs, int endAt)
    {
        std::stable_sort(jobs.begin(), jobs.end(),
            [](const RackedJob& one, const RackedJob& other) { return one.submitAt < other.submitAt; });
        std::size_t next = 0;
        for (now = stepMilliseconds; now < endAt; now += stepMilliseconds) {
            if (onStep)
                onStep(now, *this);
            for (; next < jobs.size() && jobs[next].submitAt <= now; ++next) {
                m_jobs.emplace(jobs[next].definition.jobId, jobs[next]);
                harness.submit(now, jobs[next].definition);
            }
            step();
        }
        return judge(jobs);
    }

    OwnerHarness harness;
    int now = 0;

private:
    static constexpr int stepMilliseconds = 10;
    static constexpr int listInterval = 100;

    struct Node {
        std::string rack;
        std::unique_ptr<VirtualHost> host;
        bool draining = false;
        bool silent = false;
        std::vector<Wire::OrderResult> results;
    };

    void report(Node& node, bool isFirst)
    {
        Wire::HostReport report = makeReport(node.host->hostId(), 1, now);
        report.rack = node.rack;
        report.zone = "zone";
        if (node.draining) {
            report.state = Wire::HostState::Draining;
            report.remainingMilliseconds = 60'000;
        }
        report.results = std::move(node.results);
        node.results.clear();
        node.host->addListing(report);
        if (isFirst) {
            harness.announceAndReport(now, report, testLink);
            return;
        }
        report.listFence = harness.owner.state().hosts.hosts().at(report.hostId).fence;
        harness.deliverReport(now, report, testLink);
    }

    bool isAway(const RackedJob& job, const Wire::StartOrder& order, const Node& node)
    {
        const Wire::StepDefinition& definition = job.definition.steps[static_cast<std::size_t>(order.task.step)];
        if (definition.sameRack) {
            // The starts of a gang are ordered in one pass, so all of them are among the orders of this step.
            for (const std::pair<const std::string, std::string>& place : m_gangPlaces[order.task.jobId])
                if (place.second != node.rack)
                    return true;
            return false;
        }
        return !definition.dataRack.empty() && definition.dataRack != node.rack;
    }

    void step()
    {
        int n = 0;
        for (std::pair<const std::string, Node>& entry : m_nodes) {
            entry.second.host->tick(now);
            const bool isListTime = (now / stepMilliseconds + n++) % (listInterval / stepMilliseconds) == 0;
            if (entry.second.silent)
                continue;
            if (isListTime || !entry.second.results.empty())
                report(entry.second, false);
        }
        harness.tick(now);
        const std::size_t first = m_ordersRead;
        for (std::size_t read = first; read < harness.sentOrders.size(); ++read) {
            const Wire::HostOrders& orders = harness.sentOrders[read];
            for (const Wire::StartOrder& start : orders.starts)
                m_gangPlaces[start.task.jobId][std::to_string(start.task.index)] = m_nodes.at(orders.hostId).rack;
        }
        for (; m_ordersRead < harness.sentOrders.size(); ++m_ordersRead)
            carryOut(harness.sentOrders[m_ordersRead]);
    }

    void carryOut(const Wire::HostOrders& orders)
    {
        Node& node = m_nodes.at(orders.hostId);
        node.host->renewLease(now, orders.fence, orders.leaseUntilMilliseconds, orders.acknowledgedNumber);
        for (const Wire::StartOrder& start : orders.starts) {
            const RackedJob& job = m_jobs.at(start.task.jobId);
            const bool away = isAway(job, start, node);
            const int duration = static_cast<int>(job.durationMilliseconds * (away ? m_remoteFactor : 1));
            const std::string refusal = node.host->start(
                now, orders.fence, start, orders.leaseUntilMilliseconds, duration, Wire::RunEnd::Completed);
            Wire::OrderResult result;
            result.task = start.task;
            result.run = start.run;
            result.outcome = refusal.empty() ? Wire::OrderOutcome::Started : Wire::OrderOutcome::Refused;
            node.results.push_back(result);
            if (refusal.empty() && job.isJudged) {
                ++m_result.tasks;
                m_result.tasksAway += away ? 1 : 0;
                m_result.lostToRemoteSeconds += away ? job.durationMilliseconds * (m_remoteFactor - 1) / 1000 : 0;
            }
        }
        for (const Wire::HaltOrder& halt : orders.halts)
            node.host->stop(now, orders.fence, halt.task, halt.run);
    }

    static int numberIn(const std::string& line, const std::string& key)
    {
        return std::stoi(line.substr(line.find(key) + key.size()));
    }

    RackedResult judge(const std::vector<RackedJob>& jobs)
    {
        std::map<std::string, int> endedAt;
        std::map<std::string, int> endedTasks;
        for (const RunRecord& record : m_records) {
            if (record.endedAt < 0 || record.how != Wire::RunEnd::Completed)
                continue;
            endedAt[record.task.jobId] = std::max(endedAt[record.task.jobId], record.endedAt);
            ++endedTasks[record.task.jobId];
        }
        for (const RackedJob& job : jobs) {
            if (!job.isJudged)
                continue;
            ++m_result.jobs;
            int tasks = 0;
            double allowed = static_cast<double>(job.definition.objectiveMilliseconds);
            for (const Wire::StepDefinition& step : job.definition.steps) {
                tasks += step.count;
                allowed += job.definition.stretch * static_cast<double>(step.estimateMilliseconds);
            }
            const std::string& jobId = job.definition.jobId;
            if (endedTasks[jobId] < tasks)
                continue;
            ++m_result.completedJobs;
            const int took = endedAt[jobId] - job.submitAt;
            m_result.jobsOnTime += took <= allowed ? 1 : 0;
            m_result.meanJobMilliseconds += took;
        }
        if (m_result.completedJobs > 0)
            m_result.meanJobMilliseconds /= m_result.completedJobs;
        for (const std::string& line : harness.linesOf("locality_wait"))
            m_result.longestExcessMilliseconds = std::max(
                m_result.longestExcessMilliseconds, numberIn(line, " waited_ms=") - numberIn(line, " gain_ms="));
        m_result.waitedSeconds
            = static_cast<double>(harness.owner.state().locality.counters().waitedMilliseconds) / 1000;
        return m_result;
    }

    double m_remoteFactor;
    std::vector<RunRecord> m_records;
    std::map<std::string, Node> m_nodes;
    std::map<std::string, RackedJob> m_jobs;
    std::map<std::string, std::map<std::string, std::string>> m_gangPlaces;
    std::size_t m_ordersRead = 0;
    RackedResult m_result;
};

} // namespace Plantainpier
