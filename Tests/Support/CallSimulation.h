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
#include <set>

namespace Plantainpier {

/// Simulates the history of one seed.
class CallSimulation {
public:
    explicit CallSimulation(unsigned seed);

    /// Simulates the given time with random faults, then enough time without faults for all calls to be answered.
    void run(int milliseconds);
    /// Answers that were not true, accepted jobs that were lost and calls that a stopped process left without an
    /// answer, one sentence each.
    std::vector<std::string> violations() const;
    std::size_t acceptedCount() const;
    std::size_t takeOverCount() const { return m_takeOverCount; }
    std::size_t gracefulEndCount() const { return m_gracefulEndCount; }
    std::size_t queryCount() const { return m_queryCount; }

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
        /// The process is told to stop then; never if zero.
        int stopAt = 0;
        /// Since when the process drains; zero if it does not.
        int drainingSince = 0;
        /// Since when the process has had nothing left to do.
        int drainedSince = 0;
        /// When the process, which answers all calls by now, ends; zero before that.
        int endAt = 0;
        /// Calls that the process has read and not answered.
        std::set<CallerToken> unanswered;
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
        int acceptedAt = 0;
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
    /// Drains the process of an entry as the program does, and starts the next process.
    void stepShutdown(std::size_t n);
    void stepClients();
    void sendAttempt(Submission& submission);
    /// Asks a random entry for the state of a job that was accepted some time ago.
    void sendQuery();
    /// Sends a call to a random entry. Returns its token.
    CallerToken sendCall(ClientCall call);
    void onAnswer(std::size_t n, CallerToken token, const Wire::JobReply& reply);
    void onQueryAnswer(std::size_t n, const std::string& jobId, const Wire::JobReply& reply);
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
    /// Job of each query by its token.
    std::map<CallerToken, std::string> m_queries;
    CallerToken m_lastToken = 0;
    std::vector<std::string> m_falseAnswers;
    std::size_t m_takeOverCount = 0;
    std::size_t m_gracefulEndCount = 0;
    std::size_t m_queryCount = 0;
};

} // namespace Plantainpier
