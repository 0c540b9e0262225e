/// Stand-in for a worker: runs tasks under leases and records every start. Protocol: docs/PLATFORM.md.
#pragma once

#include "Base/Json.h"
#include "Shell/Connection/HttpServer.h"

#include <deque>
#include <mutex>

namespace Plantainpier {

/// Tasks that only pass time. It refuses nothing, as the platform's workers do. Used by tests and the quick start.
class WorkerStandIn {
public:
    /// Usage is reported as it was this long ago.
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
        /// When it is done if its lease lasts that long.
        std::int64_t doneAt = 0;
        std::int64_t endedAt = 0;
        bool fails = false;
        /// Work done before this attempt, from its checkpoint.
        std::int64_t resumedAt = 0;
        std::string state = "running";
        std::string checkpoint;
    };

    std::int64_t clock() const;
    void advance(std::int64_t now);
    void end(Task& task, const std::string& state, std::int64_t at);
    Task* find(const Json& body);
    void start(const Json& body);
    void renew(const Json& body);
    void stop(const Json& body);
    Json list(std::int64_t now) const;
    Json audit() const;
    Json describe(const Task& task) const;

    std::chrono::milliseconds m_usageLag;
    std::chrono::steady_clock::time_point m_began;
    mutable std::mutex m_mutex;
    /// Every start there ever was, in order.
    std::deque<Task> m_tasks;
};

} // namespace Plantainpier
