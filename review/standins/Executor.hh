/// Stand-in for one executor: sends heartbeats to its side, starts, stops and lists runs under fences and leases, and
/// lists ends until they are acknowledged. All of it as the pages say; each test sets how long tasks take and how they
/// end.
#pragma once

#include "Http.hh"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace Review {

using Clock = std::chrono::steady_clock;

/// What a test wants a task to do.
struct TaskPlan {
    /// Negative: it runs until it is stopped.
    int milliseconds = 100;
    std::string outcome = "done";
    /// The fifth entry of the running row.
    int usage = 0;
};

/// A start or an end of a run, as the executor has seen it.
struct RunEvent {
    double at = 0;
    std::string executor;
    std::string task;
    int run = 0;
    /// "start", or how the run ended.
    std::string what;
};

/// Collects what all executors see.
class RunLog {
public:
    RunLog()
        : m_begin(Clock::now())
    {
    }
    double seconds() const { return std::chrono::duration<double>(Clock::now() - m_begin).count(); }
    void add(RunEvent event);
    std::vector<RunEvent> events() const;
    /// Number of starts, ends "done", runs now, of the tasks whose names begin so.
    int count(const std::string& prefix, const std::string& what) const;
    int running(const std::string& prefix) const;
    /// Ends that executors have listed, and those among them that acked_upto has covered.
    std::atomic<int> ends { 0 };
    std::atomic<int> acknowledged { 0 };

private:
    Clock::time_point m_begin;
    mutable std::mutex m_mutex;
    std::vector<RunEvent> m_events;
    std::map<std::string, int> m_running;
};

struct ExecutorSettings {
    std::string id;
    std::string address;
    int port = 8165;
    std::string sideAddress;
    int sidePort = 8166;
    std::string service;
    std::string zone = "piraeus";
    std::vector<std::string> labels { "a", "r1-1" };
    int milliCores = 16'000;
    int megabytes = 64'000;
};

class Executor {
public:
    using Plan = std::function<TaskPlan(const std::string& task, const std::string& spec)>;
    Executor(ExecutorSettings settings, RunLog& log, Plan plan);
    ~Executor();
    /// While set, tasks that start fail after 100 ms.
    void failWhatStarts(bool fails) { m_fails = fails; }
    /// While set, starts are answered with 503 and nothing is done.
    void refuseStarts(bool refuses) { m_refuses = refuses; }
    /// The highest run number in the starts that were refused so, by task.
    std::map<std::string, int> refusedRuns() const;
    /// While set, the executor is cut off from its side: it runs on, but nothing that is sent either way arrives.
    void cutOff(bool cut);
    /// The executor is lost for good: its runs end and it answers nothing more.
    void loseForGood();
    int milliCoresInUse(const std::function<int(const std::string& task)>& demand) const;

private:
    struct Run {
        std::string task;
        int run = 0;
        Clock::time_point endsAt;
        bool lasting = false;
        std::string outcome;
        int usage = 0;
    };
    struct End {
        std::int64_t number = 0;
        std::string row;
    };
    Response handle(const Request& request);
    Response lists() const;
    void finish(const Run& run, const std::string& how);
    void background();
    std::int64_t clock() const;

    ExecutorSettings m_settings;
    RunLog& m_log;
    Plan m_plan;
    Clock::time_point m_startedAt = Clock::now();
    std::int64_t m_born = 0;
    std::atomic<bool> m_fails { false };
    std::atomic<bool> m_refuses { false };
    std::atomic<bool> m_cut { false };
    std::atomic<bool> m_stopping { false };
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Run> m_runs;
    std::map<std::string, int> m_highestEnded;
    std::map<std::string, int> m_refusedRuns;
    std::deque<End> m_ends;
    std::int64_t m_lastEnd = 0;
    std::int64_t m_fence = 0;
    std::int64_t m_leaseUntil = 0;
    std::unique_ptr<Server> m_server;
    std::thread m_background;
    std::thread m_heartbeats;
};

} // namespace Review
