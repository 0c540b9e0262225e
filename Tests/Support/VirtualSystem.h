/// Simulates a system of real EntryCores and SideCores with a seeded event queue in virtual time, without clocks,
/// threads or sockets. Used by RequestHistoryTest, SessionTest and the deterministic benchmarks.
#pragma once

#include "Decision/Process/EntryCore.h"
#include "Decision/Process/SideCore.h"
#include "Support/TestBundle.h"
#include "Support/VirtualTime.h"

#include <random>

namespace Plantainpier {

/// Size, seed and timing of a simulated system.
struct VirtualOptions {
    int entries = 2;
    int sides = 5;
    unsigned seed = 1;
    Duration networkDelay = microseconds(500);
    /// Upper bound of the random time that is added to each delay.
    Duration jitter = microseconds(1500);
    Duration serviceTime = milliseconds(10);
    /// Version of the test bundle that all processes start with; 0 starts them without a bundle.
    std::int64_t bundleVersion = 1;
    bool recordLogLines = false;
    /// Every target accepts each request and closes the connection without an answer.
    bool targetsCloseConnections = false;
};

/// The final answer to one caller.
struct VirtualAnswer {
    Instant at;
    ErrorCode code = ErrorCode::Ok;
    Json body;
};

/// The simulated system. Processes are numbered, entries first, then sides. The targets of sides and the log are
/// simulated as well.
class VirtualSystem {
public:
    explicit VirtualSystem(const VirtualOptions& options);

    Instant now() const { return m_now; }
    void runFor(Duration duration);
    /// Schedules a call of the test.
    void schedule(Duration delay, std::function<void()> event);

    CallerToken request(int entry, const CallerRequest& request);
    CallerToken submitJob(int entry, const JobSubmission& submission);
    CallerToken rollOut(int entry, const std::string& envelope);
    /// Returns null while the caller has no answer.
    const VirtualAnswer* answerTo(CallerToken caller) const;

    int side(int n) const { return m_options.entries + n; }
    /// Ends a process and starts its next incarnation, without any state, after the given time.
    void crash(int process, Duration downFor);
    /// Suspends a process for the given time; calls that arrive meanwhile are made afterwards.
    void suspend(int process, Duration duration);
    /// Drops all further traffic on the present connections of a process; new connections work.
    void dropTraffic(int process);
    void setLogUnavailable(bool unavailable) { m_logUnavailable = unavailable; }
    /// Makes the next `count` appends succeed without a response.
    void loseAppendResponses(int count) { m_appendResponsesToLose = count; }

    EntryCore& entryCore(int n) { return *m_processes[static_cast<std::size_t>(n)].entry; }
    SideCore& sideCore(int n) { return *m_processes[static_cast<std::size_t>(side(n))].side; }
    /// Bodies of the requests that targets ran, in order.
    const std::vector<std::string>& executedBodies() const { return m_runs; }
    const std::vector<std::string>& logRecords() const { return m_log; }
    /// Log lines of the processes, each with the virtual time in microseconds and the name of the process.
    const std::vector<std::string>& logLines() const { return m_lines; }
    std::uint64_t messageCount() const { return m_messages; }

private:
    struct Process {
        std::unique_ptr<EntryCore> entry;
        std::unique_ptr<SideCore> side;
        std::int64_t incarnation = 0;
        bool up = false;
        Instant pausedUntil;
        LinkId lastAccepted = noLink;
        std::size_t logPosition = 0;
    };
    struct End {
        int process = 0;
        LinkId link = noLink;
    };
    struct Connection {
        End ends[2];
        bool open = true;
        bool silent = false;
        /// Time of the last delivery to each end; later deliveries come no earlier, which keeps their order.
        Instant last[2];
    };
    using CoreCall = std::function<void(Process&, Actions&)>;

    void startProcess(int process);
    void startTick(int process, std::int64_t incarnation);
    void readLog(int process);
    /// Calls a process at the given time, or when its suspension ends; drops the call if the incarnation has changed.
    void deliver(Instant at, int process, CoreCall call);
    void call(int process, const CoreCall& call);
    void perform(int process, Action& action);
    void open(int process, const OpenLink& open);
    void send(int process, SendMessage& send);
    void close(int process, LinkId link);
    void append(int process, const AppendBatch& batch);
    void callTarget(int process, const CallTarget& target);
    Connection* find(int process, LinkId link, int& end);
    Duration randomDelay();
    CallerToken newCaller() { return ++m_lastCaller; }

    VirtualOptions m_options;
    Instant m_now = at(0);
    std::mt19937_64 m_engine;
    std::multimap<Instant, std::function<void()>> m_events;
    std::vector<Process> m_processes;
    std::vector<std::unique_ptr<Connection>> m_connections;
    std::map<CallerToken, VirtualAnswer> m_answers;
    CallerToken m_lastCaller = 0;
    std::vector<std::string> m_runs;
    std::vector<std::string> m_log;
    std::vector<std::string> m_lines;
    bool m_logUnavailable = false;
    int m_appendResponsesToLose = 0;
    std::uint64_t m_messages = 0;
};

} // namespace Plantainpier
