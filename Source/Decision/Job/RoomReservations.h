/// Reserves hosts for long-running tasks that wait for room while short tasks start. Without a reservation, short tasks
/// take each gap as soon as a run ends, so that a large task may wait without bound. Short tasks get no reservations:
/// they wait in an overload, and reserved hosts would lower what all of them get done. Used by TaskScheduler.
#pragma once

#include "Decision/Job/OwnerState.h"
#include "Decision/Job/Placement.h"

namespace Plantainpier {

/// Limits of reservations.
struct ReservationRules {
    /// A task that has waited for less may still fit elsewhere in the next pass.
    Duration minimumWait = milliseconds(200);
    /// Reserved room is idle until it suffices, so at most this share of a service's hosts is reserved, but at least
    /// one host. Tasks that end by themselves may use half of that, so that long-running ones find a place.
    double maximumShareOfHosts = 0.1;
    /// A reservation lasts for this multiple of its expected wait, and this much longer. A run that outlasts its
    /// estimate must not hold up the task.
    int maximumWaitFactor = 2;
    Duration additionalWait = seconds(1);
    /// Each search for a host examines all runs of the service.
    int maximumSearchesPerPass = 4;
    /// A run that is longer than its estimate is expected to take this share of its time so far again.
    double overrunShare = 0.5;
};

/// The reservations of one term. Each belongs to a waiting step; the tasks of a step are interchangeable.
class RoomReservations {
public:
    RoomReservations(OwnerState& state, const Placement& placement, const ReservationRules& rules)
        : m_state(state)
        , m_placement(placement)
        , m_rules(rules)
    {
    }

    /// Removes the reservations that are no longer of use. Call at the start of each pass.
    void removeOutdated(Instant now, Actions& actions);
    /// Reserves the host that is expected to have room for the task first if the task is long-running, unless each
    /// waiting task of the step has a reservation, or too many hosts are reserved.
    void reserve(Instant now, const JobState& job, const StepState& step, const TaskState& task, Actions& actions);
    /// Reserves the given host, whose runs are being stopped for the step, if the step is long-running.
    void reserveHost(Instant now, const JobState& job, const StepState& step, Host& host, Duration expectedWait);
    /// Removes one reservation of the step, one of a task that starts on the host if there is one.
    void onStarted(const JobState& job, const StepState& step, const Host& host);
    bool hasReservation(const JobState& job, const StepState& step) const { return countOf(job, step) > 0; }

private:
    struct Entry {
        std::string hostId;
        std::int64_t incarnation;
        std::string service;
        RoomReservation reservation;
        Instant until;
    };

    std::size_t countOf(const JobState& job, const StepState& step) const;
    /// Whether the service has as many reservations as it may have.
    bool isQuotaUsed(const std::string& service) const;
    /// Whether a search of the pass has found no host for a demand that is at most as large.
    bool isRuledOut(const JobState& job, const StepState& step) const;
    /// Returns why the reservation is of no further use, or null.
    const char* reasonToRemove(Instant now, const Entry& entry, std::size_t earlierOfStep) const;
    void add(Instant now, const JobState& job, const StepState& step, Host& host, Duration expectedWait);
    /// Time until the runs that end by themselves leave enough room; nothing if long-running tasks take it.
    std::optional<Duration> expectedWait(Instant now, const Host& host, const Wire::StepDefinition& step) const;
    Duration remainingTime(Instant now, const HostRun& run) const;
    /// Copies the reservations to their hosts, where Placement reads them.
    void publish();

    OwnerState& m_state;
    const Placement& m_placement;
    ReservationRules m_rules;
    std::vector<Entry> m_entries;
    /// Searches of the pass, and the demands by service for which one found that long-running tasks take the room of
    /// all hosts.
    int m_searchesInPass = 0;
    std::vector<std::pair<std::string, Wire::Resources>> m_failedSearches;
};

} // namespace Plantainpier
