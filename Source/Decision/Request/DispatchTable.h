/// Records the state of every dispatch that one side process has received or fenced. SideRequests answers queries and
/// duplicate dispatches ("done", "not run", "running") from this table.
#pragma once

#include "Base/Time.h"
#include "Wire/Generated/plantainpier_types.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>

namespace Plantainpier {

/// The state of a dispatch.
enum class DispatchState {
    /// In the admission queue.
    Waiting,
    /// Sent to the target.
    Running,
    /// The call to the target has ended and the answer is kept.
    Finished,
    /// The dispatch has run, but its answer was dropped to limit memory.
    AnswerDropped,
    /// The dispatch was refused or fenced: it has not run and will not run.
    Refused,
};

/// One dispatch.
struct Dispatch {
    DispatchState state = DispatchState::Waiting;
    int classIndex = 0;
    bool idempotent = false;
    Instant deadline;
    Instant startedAt;
    /// Connections that receive the answer: every one on which the dispatch or a query about it arrived.
    std::set<std::uint64_t> replyLinks;
    std::string body;
    /// Set in states Finished and Refused.
    Wire::RunAnswer answer;
};

/// Dispatches by id. Ended dispatches are kept for a given time, and their answer bodies within a memory limit. Lives
/// for the process.
class DispatchTable {
public:
    /// Null if the id was never recorded or its record has expired.
    Dispatch* find(const std::string& dispatchId);
    Dispatch& add(const std::string& dispatchId);
    /// The dispatch has ended; its record is kept until the given time.
    void close(const std::string& dispatchId, Instant keepUntil);
    /// Removes the records that are past their retention time.
    void removeExpired(Instant now);
    /// Total size of the kept answer bodies.
    std::size_t keptBytes() const { return m_keptBytes; }
    std::size_t size() const { return m_dispatches.size(); }

private:
    /// Drops the oldest answer bodies until their total size is within the limit.
    void enforceByteLimit();
    void dropBody(Dispatch& dispatch);

    std::unordered_map<std::string, Dispatch> m_dispatches;
    std::multimap<Instant, std::string> m_expiries;
    /// Ids of closed dispatches whose answers had a body, oldest first.
    std::deque<std::string> m_idsWithBody;
    std::size_t m_keptBytes = 0;
};

} // namespace Plantainpier
