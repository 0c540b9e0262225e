/// Halts of runs that a side has to bring to its host, each kept until a list confirms that the run is over. Used by
/// HostAgent.
#pragma once

#include "Decision/Job/HostRegistry.h"

#include <map>
#include <set>

namespace Plantainpier {

enum class HaltOrigin {
    /// The owner has ordered the halt.
    Owner,
    /// A start is unresolved, so the side prevents it.
    Side,
};

/// The halts of one incarnation of a host, in the order in which they are due.
class PendingHalts {
public:
    explicit PendingHalts(Duration retryDelay)
        : m_retryDelay(retryDelay)
    {
    }

    /// Adds a halt that is due now. The reason is reported to the owner if the host turns out not to have the run.
    void add(Instant now, HaltOrigin origin, const Wire::TaskName& task, int run, const std::string& reason);
    /// Returns the next halt to send, which is in flight from then on.
    std::optional<Wire::HaltOrder> takeDue(Instant now, HaltOrigin origin);
    /// The host has answered, or has not. A halt that is not done is sent again. Returns false if it is not pending.
    bool onAnswer(Instant now, const Wire::HaltOrder& order, bool isDone);
    /// Removes the halts whose runs are over by a list, and returns the results of those that the host does not have.
    std::vector<Wire::OrderResult> resolve(const HostResponse& list, Instant listSentAt);
    /// Whether there are halts that are neither in flight nor done.
    bool hasUnsent(HaltOrigin origin) const { return !dueHalts(origin).empty(); }
    /// Drops the halts that are neither in flight nor done.
    void dropUnsent(HaltOrigin origin);
    bool empty() const { return m_halts.empty(); }
    void clear();

    static Wire::OrderResult makeResult(
        const Wire::TaskName& task, int run, Wire::OrderOutcome::type outcome, const std::string& reason);

private:
    struct Halt {
        Wire::HaltOrder order;
        HaltOrigin origin = HaltOrigin::Owner;
        std::string reason;
        /// When the halt is due; unset while it is in flight or once the host has done it.
        std::optional<Instant> dueAt;
        std::optional<Instant> doneAt;
    };
    using DueHalts = std::set<std::pair<Instant, RunKey>>;

    DueHalts& dueHalts(HaltOrigin origin) { return origin == HaltOrigin::Owner ? m_dueOfOwner : m_dueOfSide; }
    const DueHalts& dueHalts(HaltOrigin origin) const
    {
        return origin == HaltOrigin::Owner ? m_dueOfOwner : m_dueOfSide;
    }
    void setDue(const RunKey& key, Halt& halt, std::optional<Instant> dueAt);

    Duration m_retryDelay;
    std::map<RunKey, Halt> m_halts;
    DueHalts m_dueOfOwner;
    DueHalts m_dueOfSide;
};

} // namespace Plantainpier
