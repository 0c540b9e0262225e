/// Simulates a worker that runs tasks under leases and records every start. The protocol is described in
/// docs/PLATFORM.md.
#pragma once

#include "Base/Json.h"
#include "Shell/Connection/HttpServer.h"

#include <deque>
#include <mutex>

namespace Plantainpier {

/// Simulated tasks only take time. Like the platform's workers, the simulated worker rejects no order. Used by the
/// tests and quickstart.
class WorkerStandIn {
public:
    /// The worker reports its processor usage as it was usageLag ago.
    explicit WorkerStandIn(std::chrono::milliseconds usageLag);
    void onCall(const std::shared_ptr<HttpCall>& call);

private:
    struct Task {
        std::string job;
        int attempt = 0;
        std::int64_t milliProcessors = 0;
        std::int64_t memoryMegabytes = 0;
        int accelerators = 0;
        std::int64_t startedAt = 0;
        std::int64_t leaseUntil = 0;
        /// Time at which the work is complete, provided that the lease lasts until then.
        std::int64_t workDoneAt = 0;
        std::int64_t endedAt = 0;
        bool shouldFail = false;
        /// Work that earlier attempts completed, read from the checkpoint.
        std::int64_t previousWorkMilliseconds = 0;
        std::string state = "running";
        std::string checkpoint;
    };

    /// Time since the worker started: the clock of its tasks and leases.
    std::int64_t clockMilliseconds() const;
    /// Ends the running tasks whose work is complete or whose lease has expired.
    void endDueTasks(std::int64_t now);
    void endTask(Task& task, const std::string& state, std::int64_t endTime);
    /// The task of the job and attempt that the body names; null if there is none.
    Task* findTask(const Json& body);
    void startTask(const Json& body);
    void renewLease(const Json& body);
    void stopTask(const Json& body);
    /// The running and recently ended tasks, and the usage as of usageLag ago.
    Json listTasks(std::int64_t now) const;
    /// All starts, for the tests' checks.
    Json listStarts() const;
    Json taskToJson(const Task& task) const;

    std::chrono::milliseconds m_usageLag;
    std::chrono::steady_clock::time_point m_startTime;
    mutable std::mutex m_mutex;
    /// All tasks that were ever started, in order of their start.
    std::deque<Task> m_tasks;
};

} // namespace Plantainpier
