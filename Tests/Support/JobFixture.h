/// Builds jobs and host reports and drives a JobOwner. Used by the tests of the owner of jobs and of sides.
#pragma once

#include "Decision/Job/JobOwner.h"
#include "Support/VirtualTime.h"

#include <algorithm>
#include <string>
#include <vector>

namespace Plantainpier {

constexpr LinkId testLink = 7;

/// A step of equal tasks with the given demand.
inline Wire::StepDefinition makeStep(int count, std::int64_t milliCores, std::int64_t estimateMilliseconds)
{
    Wire::StepDefinition step;
    step.count = count;
    step.demand.milliProcessors = milliCores;
    step.demand.memoryMegabytes = 100;
    step.estimateMilliseconds = estimateMilliseconds;
    return step;
}

/// A job of the queue "checks" on the service "desk".
inline Wire::JobDefinition makeJob(const std::string& jobId, std::vector<Wire::StepDefinition> steps)
{
    Wire::JobDefinition job;
    job.jobId = jobId;
    job.queue = "checks";
    job.serviceName = "desk";
    job.maximumAttempts = 2;
    job.stretch = 2;
    job.objectiveMilliseconds = 500;
    job.payload = "work";
    job.steps = std::move(steps);
    return job;
}

inline Wire::JobCall makeCall(Wire::JobCallKind::type kind, const Wire::JobDefinition& job)
{
    Wire::JobCall call;
    call.kind = kind;
    call.jobId = job.jobId;
    call.queue = job.queue;
    call.job = job;
    return call;
}

inline Wire::TaskName makeTask(const std::string& jobId, int step, int index)
{
    Wire::TaskName task;
    task.jobId = jobId;
    task.occurrence = 0;
    task.step = step;
    task.index = index;
    return task;
}

/// A listing report of a host with 4 cores.
inline Wire::HostReport makeReport(const std::string& hostId, std::int64_t incarnation, std::int64_t clock)
{
    Wire::HostReport report;
    report.hostId = hostId;
    report.incarnation = incarnation;
    report.serviceName = "desk";
    report.rack = "rack-1";
    report.capacity.milliProcessors = 4000;
    report.capacity.memoryMegabytes = 10'000;
    report.state = Wire::HostState::Ready;
    report.listed = true;
    report.clockMilliseconds = clock;
    return report;
}

inline Wire::RunningTask makeRunningTask(const Wire::TaskName& task, int run)
{
    Wire::RunningTask row;
    row.task = task;
    row.run = run;
    return row;
}

inline Wire::EndedTask makeEndedTask(std::int64_t number, const Wire::TaskName& task, int run, Wire::RunEnd::type how)
{
    Wire::EndedTask row;
    row.number = number;
    row.task = task;
    row.run = run;
    row.how = how;
    return row;
}

/// Drives a JobOwner whose appends succeed at once, and collects the actions of the owner.
class OwnerHarness {
public:
    explicit OwnerHarness(std::int64_t term = 1, const OwnerRules& rules = OwnerRules {})
        : owner("entry-1", term, rules, at(0))
    {
        Actions actions;
        owner.finishLoad(at(0), 0, at(0), actions);
    }

    /// Calls the owner's tick. Unless the store is unavailable, also stores pending appends and confirms a pulse of the
    /// owner.
    void tick(int now)
    {
        if (!storeUnavailable)
            owner.onPulseConfirmed(at(now));
        Actions actions;
        owner.tick(at(now), now, actions);
        collectActions(actions);
        for (int n = 0; n < 4 && !storeUnavailable; ++n) {
            const std::optional<AppendToStore> append = owner.nextAppend(at(now + 20 * n));
            if (!append)
                continue;
            for (const StoreRecord& record : append->records)
                storedRecords.push_back(record);
            AppendResponse response;
            response.outcome = AppendOutcome::Stored;
            Actions more;
            owner.onAppendResponse(at(now), response, more);
            collectActions(more);
        }
    }

    /// Ticks five times, 10 ms apart, so that the owner's decisions are stored and its orders sent.
    void settle(int now)
    {
        for (int n = 0; n < 5; ++n)
            tick(now + 10 * n);
    }

    void submit(int now, const Wire::JobDefinition& job)
    {
        Actions actions;
        owner.onCall(at(now), CallOrigin { noLink, ++lastCallId }, makeCall(Wire::JobCallKind::Submit, job), actions);
        collectActions(actions);
    }

    /// Delivers a report as a correct side would: announces the host first, then lists it under the fence that the
    /// owner gave.
    void announceAndReport(int now, Wire::HostReport report, LinkId link = testLink)
    {
        if (report.listed) {
            Wire::HostReport announcement = report;
            announcement.listed = false;
            announcement.running.clear();
            announcement.ended.clear();
            announcement.results.clear();
            deliverReport(now, announcement, link);
        }
        const std::map<std::string, Host>::const_iterator it = owner.state().hosts.hosts().find(report.hostId);
        if (it != owner.state().hosts.hosts().end())
            report.listFence = it->second.fence;
        deliverReport(now, report, link);
    }

    /// Delivers a report unchanged.
    void deliverReport(int now, const Wire::HostReport& report, LinkId link = testLink)
    {
        Actions actions;
        owner.onReport(at(now), link, report, actions);
        collectActions(actions);
    }

    Wire::JobReply sendCall(int now, Wire::JobCallKind::type kind, const Wire::JobDefinition& job)
    {
        Actions actions;
        owner.onCall(at(now), CallOrigin { noLink, ++lastCallId }, makeCall(kind, job), actions);
        collectActions(actions);
        return replies.empty() ? Wire::JobReply() : replies.back();
    }

    void collectActions(const Actions& actions)
    {
        for (const Action& action : actions) {
            if (const AnswerJobCall* answer = std::get_if<AnswerJobCall>(&action))
                replies.push_back(answer->reply);
            if (const WriteLog* line = std::get_if<WriteLog>(&action))
                logLines.push_back(line->line);
            const SendMessage* send = std::get_if<SendMessage>(&action);
            const Wire::HostOrders* orders = send ? std::get_if<Wire::HostOrders>(&send->message) : nullptr;
            if (!orders)
                continue;
            sentOrders.push_back(*orders);
            startOrders.insert(startOrders.end(), orders->starts.begin(), orders->starts.end());
            haltOrders.insert(haltOrders.end(), orders->halts.begin(), orders->halts.end());
            paceOrders.insert(paceOrders.end(), orders->paces.begin(), orders->paces.end());
        }
    }

    /// The log lines of one event, in order.
    std::vector<std::string> linesOf(const std::string& event) const
    {
        std::vector<std::string> found;
        std::copy_if(logLines.begin(), logLines.end(), std::back_inserter(found),
            [&event](const std::string& line) { return line.starts_with("event=" + event + " "); });
        return found;
    }

    JobOwner owner;
    bool storeUnavailable = false;
    std::uint64_t lastCallId = 0;
    std::vector<StoreRecord> storedRecords;
    std::vector<Wire::JobReply> replies;
    std::vector<Wire::HostOrders> sentOrders;
    std::vector<Wire::StartOrder> startOrders;
    std::vector<Wire::HaltOrder> haltOrders;
    std::vector<Wire::PaceOrder> paceOrders;
    std::vector<std::string> logLines;
};

} // namespace Plantainpier
