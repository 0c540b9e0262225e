/// The resources of one host that are committed to batch attempts. Only the host's side process changes them, through
/// AttemptManager.
#pragma once

#include "Base/Time.h"
#include "Decision/Job/ResourceMath.h"

#include <map>
#include <string>

namespace Plantainpier {

/// Identifies one attempt of a task.
struct AttemptId {
    std::string jobId;
    std::int32_t number = 0;

    auto operator<=>(const AttemptId&) const = default;
};

/// Tracks the committed resources. commit() never exceeds the limit. Lives for the process.
class HostCommitments {
public:
    /// Sets the total for batch attempts: the host's capacity without the part reserved for latency-critical requests.
    void setLimit(const Wire::Resources& limit) { m_limit = limit; }

    /// Commits the demand if it fits, and returns whether it is committed. Committing the same attempt again has no
    /// effect.
    bool commit(const AttemptId& id, const Wire::Resources& demand);
    /// Commits the demand of a task that already runs on the worker, even if the limit is exceeded.
    void commitExisting(const AttemptId& id, const Wire::Resources& demand);
    void release(const AttemptId& id);

    Wire::Resources freeResources() const { return minus(m_limit, m_committed); }
    const Wire::Resources& committed() const { return m_committed; }

private:
    Wire::Resources m_limit;
    Wire::Resources m_committed;
    std::map<AttemptId, Wire::Resources> m_commitments;
};

} // namespace Plantainpier
