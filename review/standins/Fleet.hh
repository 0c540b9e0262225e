/// Starts the project's own programs with the commands of the deploy file against the stand-ins, on loopback addresses
/// of their own, and ends them again. Clients' calls and all notes go into record.txt.
#pragma once

#include "Executor.hh"
#include "Store.hh"

#include <fstream>
#include <sys/types.h>

namespace Review {

struct FleetSettings {
    int entries = 2;
    int executors = 3;
    /// Called for each executor before it is created.
    std::function<void(int number, ExecutorSettings&)> configure;
    Executor::Plan plan;
};

/// One queue, /plans/ at desk.example, of one service.
class Fleet {
public:
    /// folder: of the case. Throws std::runtime_error if the case can't run.
    Fleet(const std::string& folder, FleetSettings settings);
    ~Fleet();
    Fleet(const Fleet&) = delete;
    Fleet& operator=(const Fleet&) = delete;

    void note(const std::string& text);
    /// Waits until the first entry is ready and every executor has been listed, at most 20 s.
    void waitUntilReady();
    /// One call of a client.
    Answer call(int entry, const std::string& method, const std::string& id, const std::string& body = "");
    /// Submits a job as a client does: up to five attempts, at the entries in turn, a second apart after a refusal.
    bool submit(const std::string& id, const std::string& body);
    /// The state that an entry gives; "410", "refused" or "no answer" if it gives none.
    std::string state(const std::string& id);
    RunLog& runs() { return m_runs; }
    Store& store() { return *m_store; }
    Executor& executor(int number) { return *m_executors.at(static_cast<std::size_t>(number)); }
    pid_t entryProcess(int number) const { return m_processes.at(static_cast<std::size_t>(number)).pid; }
    /// The entry that owns the jobs, by its log; -1 if none does.
    int ownerEntry() const;
    /// Kills an entry with SIGKILL and starts it again after the pause.
    void killEntry(int number, double pauseSeconds);
    /// Whether all processes that the test started and did not kill are still there.
    bool areProcessesAlive();
    /// Copies the last lines of the processes' logs that hold the text into record.txt.
    void noteLogs(const std::string& text, int lines);
    /// Writes the starts and ends of tasks whose names begin so into record.txt.
    void noteRuns(const std::string& prefix);
    double seconds() const { return m_runs.seconds(); }

private:
    struct Process {
        std::string name;
        std::string log;
        std::string role;
        pid_t pid = -1;
    };
    void launch(Process& process);
    std::string address(int group, int number) const;

    FleetSettings m_settings;
    std::ofstream m_record;
    std::mutex m_recordMutex;
    std::string m_folder;
    int m_subnet = 0;
    RunLog m_runs;
    std::unique_ptr<Store> m_store;
    std::vector<std::unique_ptr<Executor>> m_executors;
    std::vector<Process> m_processes;
};

/// Runs a test: exit code 1 if it returns true (the rule was broken), 0 if false, 2 if it throws.
int runCase(const std::function<bool(bool trouble)>& test);

void pause(double seconds);

} // namespace Review
