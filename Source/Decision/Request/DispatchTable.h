/// What one side process knows of every dispatch it has seen: the ground for "done", "not run" and "running".
#pragma once

#include "Base/Time.h"
#include "Wire/Generated/plantainpier_types.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>

namespace Plantainpier {

/// Where a dispatch stands.
enum class DispatchState {
    Waiting,
    Running,
    /// Its answer is kept.
    Finished,
    /// It has run, but the answer is no longer kept.
    Forgotten,
    /// It was refused or fenced: it has not run and never will.
    Refused,
};

/// One dispatch.
struct Dispatch {
    DispatchState state = DispatchState::Waiting;
    int classIndex = 0;
    bool idempotent = false;
    Instant deadline;
    Instant startedAt;
    /// The connections that its answer goes to: all that it came on or was asked about on.
    std::set<std::uint64_t> links;
    std::string body;
    /// Set once it is finished or refused.
    Wire::RunAnswer answer;
};

/// Dispatches by id, kept for a stated time after they are over and within a bound on memory. Lives for the process.
class DispatchTable {
public:
    /// Null when the id was never seen (or is past its keeping time).
    Dispatch* find(const std::string& dispatchId);
    Dispatch& add(const std::string& dispatchId);
    /// The dispatch is over; its answer is kept until then.
    void close(const std::string& dispatchId, Instant keepUntil);
    /// Forgets what is past its keeping time.
    void expire(Instant now);
    /// Bytes of kept answers.
    std::size_t keptBytes() const { return m_keptBytes; }
    std::size_t size() const { return m_dispatches.size(); }

private:
    void dropBodies();
    void dropBody(Dispatch& dispatch);

    std::unordered_map<std::string, Dispatch> m_dispatches;
    std::multimap<Instant, std::string> m_expiries;
    /// Ids of dispatches whose answers have bodies, in the order in which they were closed.
    std::deque<std::string> m_bodies;
    std::size_t m_keptBytes = 0;
};

} // namespace Plantainpier
