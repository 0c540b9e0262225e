/// What of one host is committed to batch attempts. The side process is its only authority.
#pragma once

#include "Base/Time.h"
#include "Decision/Job/ResourceMath.h"

#include <map>
#include <string>

namespace Plantainpier {

/// One attempt of a task, by job id and attempt number.
struct AttemptId {
    std::string jobId;
    std::int32_t number = 0;

    auto operator<=>(const AttemptId&) const = default;
};

/// Commitments of one host. Never lets their sum pass the capacity. Lives for the process.
class HostCommitments {
public:
    /// What batch may commit in all: the host's capacity less what is kept for latency-critical work.
    void setLimit(const Wire::Resources& limit) { m_limit = limit; }

    /// Commits the demand if it fits; committing the same attempt again changes nothing.
    bool commit(const AttemptId& id, const Wire::Resources& demand);
    /// Records what already runs on the worker, fit or not: a fact cannot be refused.
    void adopt(const AttemptId& id, const Wire::Resources& demand);
    void release(const AttemptId& id);

    Wire::Resources free() const { return minus(m_limit, m_committed); }
    const Wire::Resources& committed() const { return m_committed; }

private:
    Wire::Resources m_limit;
    Wire::Resources m_committed;
    std::map<AttemptId, Wire::Resources> m_commitments;
};

} // namespace Plantainpier
