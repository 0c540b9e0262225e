/// Decides whether a side may carry out orders of its owner, or has to read the claims of ownership first. An owner
/// that the store turns away cannot tell whether the store is down for all or whether another entry has followed it.
/// Used by HostAgent.
#pragma once

#include "Base/Time.h"

namespace Plantainpier {

/// How old the newest evidence that the owner has no successor may be.
struct OwnershipCheckTiming {
    /// No successor claims within this time; see OwnerRules::ownershipCertainFor. Older evidence is renewed by a check
    /// while there are orders to carry out.
    Duration certainFor = milliseconds(700);
    /// Orders are carried out without newer evidence for this time. The platform allows what a successor acknowledges
    /// a second to take effect; the rest of this time is left for the orders' way to the host.
    Duration actFor = milliseconds(1500);
    /// Timeout of a check. The store answers within milliseconds, and a slow store within some 200 ms.
    Duration checkTimeout = milliseconds(400);
    /// After this number of failed checks in a row the store counts as down for all: the owner's orders are then
    /// carried out as they come, because work must go on without the store.
    int failuresUntilStoreIsDown = 2;
};

/// The evidence of one side. Evidence is what the owner says about its pulses, and what this side reads itself.
class OwnershipCheck {
public:
    explicit OwnershipCheck(const OwnershipCheckTiming& timing)
        : m_timing(timing)
    {
    }

    /// The owner states how long ago the pulse was sent that the store confirmed last.
    void onOwnerAge(Instant now, Duration age);
    /// A read of the claims was sent; the store may delay its answer by up to `wait` until a record arrives.
    void onReadSent(Instant now, Duration wait);
    /// The newest read was answered. Claims that it shows are handled by the caller.
    void onReadAnswered(Instant now, bool isEmpty);
    /// A check, which is a read with the timeout of a check, has failed.
    void onCheckFailed() { ++m_failedChecks; }

    /// Whether no later owner can exist.
    bool isCertain(Instant now) const { return now - m_confirmedAt <= m_timing.certainFor; }
    /// Whether orders of the owner may be carried out now.
    bool mayAct(Instant now) const { return now - m_confirmedAt <= m_timing.actFor || isStoreDown(); }
    /// The owner is uncertain itself, by its newest message.
    bool isOwnerUncertain() const { return m_isOwnerUncertain; }
    bool isStoreDown() const { return m_failedChecks >= m_timing.failuresUntilStoreIsDown; }
    Duration age(Instant now) const { return now - m_confirmedAt; }
    Duration checkTimeout() const { return m_timing.checkTimeout; }

private:
    void confirm(Instant asOf);

    OwnershipCheckTiming m_timing;
    /// Until then no later owner had claimed.
    Instant m_confirmedAt;
    bool m_isOwnerUncertain = false;
    Instant m_readSentAt;
    Duration m_readWait {};
    int m_failedChecks = 0;
};

} // namespace Plantainpier
