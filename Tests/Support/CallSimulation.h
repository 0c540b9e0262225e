/// Simulates entries, their connections, the store and clients that submit jobs in virtual time. The entries are real
/// JobEntryCores. Used by CallHistoryTest.
#pragma once

#include "Decision/Process/JobEntryCore.h"
#include "Support/VirtualStore.h"
#include "Support/VirtualTime.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>

namespace Plantainpier {

/// Simulates the history of one seed.
class CallSimulation {
public:
    explicit CallSimulation(unsigned seed);

    /// Simulates the given time with random faults, then enough time without faults for all calls to be answered.
    void run(int milliseconds);
    /// Answers that were not true and accepted jobs that were lost, one sentence each.
    std::vector<std::string> violations() const;
    std::size_t acceptedCount() const;
    std::size_t takeOverCount() const { return m_takeOverCount; }

private:
    /// One entry. Each process of it has its own connections and pending calls.
    struct Entry {
        std::unique_ptr<JobEntryCore> core;
        int process = 0;
        /// The process is suspended until then; what arrives meanwhile is handled afterwards.
        int frozenUntil = 0;
        std::deque<std::function<void(JobEntryCore&, Actions&)>> backlog;
        /// The store does not answer this entry until then.
        int cutFromStoreUntil = 0;
        /// Messages to and from this entry are delayed until then.
        int slowUntil = 0;
    };

    /// One end of a connection.
    struct LinkEnd {
        std::size_t entry = 0;
        int process = 0;
        LinkId link = noLink;
        bool closed = false;
    };

    struct Connection {
        LinkEnd ends[2];
        /// When the newest message to each end arrives; messages keep their order.
        int lastArrival[2] = { 0, 0 };
    };

    /// The attempts of one client to submit one job.
    struct Submission {
        Wire::JobDefinition job;
        int attempts = 0;
        CallerToken token = 0;
        int answerDueAt = 0;
        int nextAttemptAt = 0;
        bool isAccepted = false;
        /// An attempt had no answer, or one that leaves open whether the job was accepted.
        bool isOutcomeUnknown = false;
    };

    bool chance(double share) { return std::uniform_real_distribution<double>(0, 1)(m_random) < share; }
    int randomBelow(int count) { return static_cast<int>(m_random() % static_cast<unsigned>(count)); }
    std::size_t randomEntry() { return static_cast<std::size_t>(randomBelow(static_cast<int>(m_entries.size()))); }
    /// Handles an event in the current process of an entry after a delay.
    void deliver(std::size_t n, int delay, std::function<void(JobEntryCore&, Actions&)> handle);

    void step();
    void injectFaults();
    void restart(std::size_t n);
    void stepEntry(std::size_t n);
    void stepClients();
    void sendAttempt(Submission& submission);
    void onAnswer(CallerToken token, const Wire::JobReply& reply);
    void perform(std::size_t n, Actions&& actions);
    void append(std::size_t n, const AppendToStore& call);
    void read(std::size_t n, const ReadStore& call, int until);
    void open(std::size_t n, const OpenLink& order);
    void close(std::size_t n, LinkId link);
    void send(std::size_t n, const SendMessage& message);
    Connection* findConnection(std::size_t n, LinkId link, std::size_t& end);
    bool isCutFromStore(std::size_t n) const { return m_now < m_entries[n].cutFromStoreUntil; }

    std::mt19937 m_random;
    const bool m_trace;
    int m_now = 0;
    bool m_faultFree = false;
    std::vector<Entry> m_entries;
    VirtualStore m_store;
    LinkId m_lastAcceptedLink = 0;
    std::vector<std::unique_ptr<Connection>> m_connections;
    std::multimap<int, std::function<void()>> m_events;
    std::vector<Submission> m_submissions;
    /// Index of the submission by the token of its current attempt.
    std::map<CallerToken, std::size_t> m_attempts;
    CallerToken m_lastToken = 0;
    std::size_t m_takeOverCount = 0;
};

} // namespace Plantainpier
