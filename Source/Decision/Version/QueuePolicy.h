/// The operator's configuration of queues and services, as one immutable version.
#pragma once

#include "Base/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Plantainpier {

/// A queue: which calls reach it and how its jobs are run.
struct QueuePolicy {
    std::string name;
    /// Calls with this host name and path prefix are for this queue.
    std::string hostName;
    std::string pathPrefix;
    std::string service;
    /// 0 comes first.
    int priority = 0;
    /// Runs of a task that may fail before its job has failed.
    int maximumAttempts = 1;
    /// A job is on time within stretch times its longest chain of work plus the objective.
    double stretch = 1;
    Duration objective {};
    Duration timeout {};
    /// How long a ticket of the queue's advice service is valid; zero for a queue without advice.
    Duration adviceValidity {};
};

/// A pool of hosts.
struct ServicePolicy {
    std::string name;
    /// Hosts refuse what does not fit; otherwise they start whatever they are told to.
    bool hostsGuardCapacity = false;
    /// Its hosts are switched off and may be moved to other services.
    bool standby = false;
};

/// One version of the configuration.
struct PolicySnapshot {
    std::int64_t version = 0;
    std::vector<QueuePolicy> queues;
    std::map<std::string, ServicePolicy> services;
    std::size_t maximumBodyBytes = 0;

    /// The queue with the longest prefix of the path; null when there is none.
    const QueuePolicy* match(const std::string& hostName, const std::string& path) const
    {
        const QueuePolicy* best = nullptr;
        for (const QueuePolicy& queue : queues) {
            const bool fits = queue.hostName == hostName && path.starts_with(queue.pathPrefix);
            if (fits && (!best || queue.pathPrefix.size() > best->pathPrefix.size()))
                best = &queue;
        }
        return best;
    }
};

} // namespace Plantainpier
