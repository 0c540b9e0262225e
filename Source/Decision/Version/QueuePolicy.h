/// One immutable version of the operator's configuration of queues and services. Used by entries.
#pragma once

#include "Base/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Plantainpier {

/// A queue: the calls that it receives, and the rules for its jobs.
struct QueuePolicy {
    std::string name;
    /// The queue receives calls with this host name and path prefix.
    std::string hostName;
    std::string pathPrefix;
    std::string service;
    /// Lower is more urgent; 0 is the most urgent.
    int priority = 0;
    /// Number of failed runs of one task after which the job fails.
    int maximumAttempts = 1;
    /// A job is on time if it completes within stretch times its longest chain of work, plus the objective.
    double stretch = 1;
    Duration objective {};
    Duration timeout {};
    /// How long a ticket of the queue's advice service is valid; zero if the queue has no advice service.
    Duration adviceValidity {};
};

/// A pool of hosts.
struct ServicePolicy {
    std::string name;
    /// Whether hosts refuse a task that exceeds their free capacity; if false, they start every task they are sent.
    bool hostsEnforceCapacity = false;
    /// Whether the pool's hosts are switched off and may be moved to other services.
    bool standby = false;
};

/// One version of the configuration.
struct PolicySnapshot {
    std::int64_t version = 0;
    std::vector<QueuePolicy> queues;
    std::map<std::string, ServicePolicy> services;
    std::size_t maximumBodyBytes = 0;

    /// Returns the queue for a call: the longest matching path prefix wins. Null if no queue matches.
    const QueuePolicy* findQueue(const std::string& hostName, const std::string& path) const
    {
        const QueuePolicy* best = nullptr;
        for (const QueuePolicy& queue : queues) {
            const bool matches = queue.hostName == hostName && path.starts_with(queue.pathPrefix);
            if (matches && (!best || queue.pathPrefix.size() > best->pathPrefix.size()))
                best = &queue;
        }
        return best;
    }
};

} // namespace Plantainpier
