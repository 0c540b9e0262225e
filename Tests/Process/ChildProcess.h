/// A child process of a test: a program of the system or a stand-in, which the test can freeze, stop and kill.
#pragma once

#include <chrono>
#include <string>
#include <sys/types.h>
#include <vector>

namespace Plantainpier {

/// One child process; the destructor kills it.
class ChildProcess {
public:
    /// Appends the standard output and standard error of the process to the file. endsWithThread: the process is killed
    /// when the calling thread ends, also without the destructor.
    ChildProcess(const std::vector<std::string>& command, const std::string& outputFile, bool endsWithThread = false);
    ChildProcess(ChildProcess&& other) noexcept;
    ChildProcess& operator=(ChildProcess&& other) noexcept;
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;
    ~ChildProcess();

    /// Sends SIGKILL and waits for the end of the process.
    void kill();
    void freeze() const;
    void resume() const;
    /// Sends SIGTERM and returns the exit code, or -1 if the process did not exit within the limit or was ended by a
    /// signal.
    int stop(std::chrono::seconds limit);
    /// Waits for the process to exit and returns its exit code, or -1 if a signal ended it.
    int wait();
    /// Sends SIGTERM without waiting.
    void requestStop() const;
    bool isRunning() const { return m_pid > 0; }
    pid_t pid() const { return m_pid; }

private:
    pid_t m_pid = -1;
};

} // namespace Plantainpier
