/// A process of the system or a stand-in, started, frozen and killed by a test.
#pragma once

#include <chrono>
#include <string>
#include <sys/types.h>
#include <vector>

namespace Plantainpier {

/// One child; killed when the object goes.
class ChildProcess {
public:
    /// Output goes to the file.
    ChildProcess(const std::vector<std::string>& command, const std::string& outputFile);
    ChildProcess(ChildProcess&& other) noexcept;
    ChildProcess& operator=(ChildProcess&& other) noexcept;
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;
    ~ChildProcess();

    /// SIGKILL; returns when it is gone.
    void kill();
    void freeze() const;
    void wake() const;
    /// SIGTERM; the exit code, or -1 when it did not end in time or by itself.
    int stop(std::chrono::seconds limit);
    /// Waits for it to end by itself; its exit code, or -1.
    int wait();
    /// SIGTERM without waiting.
    void askToStop() const;
    bool isRunning() const { return m_pid > 0; }
    pid_t pid() const { return m_pid; }

private:
    pid_t m_pid = -1;
};

} // namespace Plantainpier
