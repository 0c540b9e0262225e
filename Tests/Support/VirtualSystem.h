/// Entries and sides as real decision cores under a seeded queue of pending events: no clocks, threads or sockets.
#pragma once

#include "Decision/Process/EntryCore.h"
#include "Decision/Process/SideCore.h"
#include "Support/TestBundle.h"
#include "Support/VirtualTime.h"

#include <random>

namespace Plantainpier {

/// What a virtual-time test runs.
struct VirtualOptions {
    int entries = 2;
    int sides = 5;
    unsigned seed = 1;
    Duration delay = microseconds(500);
    /// Up to so much is added to a delay at random.
    Duration jitter = microseconds(1500);
    Duration service = milliseconds(10);
    /// Whether requests get a bundle with the default rules at the start.
    std::int64_t bundleVersion = 1;
    bool recordLog = false;
    /// Every target takes each request and breaks the connection before it answers.
    bool targetsFail = false;
};

/// The final answer to one caller.
struct VirtualAnswer {
    Instant at;
    ErrorCode code = ErrorCode::Ok;
    Json body;
};

/// Processes by number: entries first, then sides. A side's target and the log are part of the test, not of the system.
class VirtualSystem {
public:
    explicit VirtualSystem(const VirtualOptions& options);

    Instant now() const { return m_now; }
    void runFor(Duration duration);
    /// Schedules a call of the test's own.
    void after(Duration delay, std::function<void()> event);

    CallerToken request(int entry, const CallerRequest& request);
    CallerToken submitJob(int entry, const JobSubmission& submission);
    CallerToken rollOut(int entry, const std::string& envelope);
    /// Null while there is none.
    const VirtualAnswer* answerTo(CallerToken caller) const;

    int side(int n) const { return m_options.entries + n; }
    /// Kills a process and starts it again after the time, with a new incarnation and no memory.
    void crash(int process, Duration downFor);
    /// The process does nothing for the time; what arrives waits.
    void pause(int process, Duration duration);
    /// Connections of the process that exist now carry nothing any more; new ones work.
    void silence(int process);
    void setLogAway(bool away) { m_logAway = away; }
    /// So many of the next appends take effect without an answer.
    void loseAppendAnswers(int count) { m_answersToLose = count; }

    EntryCore& entryCore(int n) { return *m_processes[static_cast<std::size_t>(n)].entry; }
    SideCore& sideCore(int n) { return *m_processes[static_cast<std::size_t>(side(n))].side; }
    /// Bodies that targets started, in order.
    const std::vector<std::string>& runs() const { return m_runs; }
    const std::vector<std::string>& log() const { return m_log; }
    /// What the processes logged, with the virtual time in microseconds and the process.
    const std::vector<std::string>& lines() const { return m_lines; }
    std::uint64_t messages() const { return m_messages; }

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
        /// Deliveries keep their order: the time of the last one towards each end.
        Instant last[2];
    };
    using CoreCall = std::function<void(Process&, Actions&)>;

    void startProcess(int process);
    void startTick(int process, std::int64_t incarnation);
    void readLog(int process);
    /// Calls a process once it is awake, if it is still the same incarnation.
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
    bool m_logAway = false;
    int m_answersToLose = 0;
    std::uint64_t m_messages = 0;
};

} // namespace Plantainpier
