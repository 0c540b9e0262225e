#include "Process/ChildProcess.h"

#include <csignal>
#include <fcntl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace Plantainpier {

namespace {

    constexpr std::chrono::milliseconds exitPoll(10);
    constexpr int exitCannotExecute = 127;

} // namespace

ChildProcess::ChildProcess(const std::vector<std::string>& command, const std::string& outputFile)
{
    std::vector<char*> words;
    words.reserve(command.size() + 1);
    for (const std::string& word : command)
        words.push_back(const_cast<char*>(word.c_str()));
    words.push_back(nullptr);
    m_pid = fork();
    if (m_pid != 0)
        return;
    sigset_t none;
    sigemptyset(&none);
    sigprocmask(SIG_SETMASK, &none, nullptr);
    const int output = open(outputFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    execv(words.front(), words.data());
    _exit(exitCannotExecute);
}

ChildProcess::ChildProcess(ChildProcess&& other) noexcept
    : m_pid(std::exchange(other.m_pid, -1))
{
}

ChildProcess& ChildProcess::operator=(ChildProcess&& other) noexcept
{
    kill();
    m_pid = std::exchange(other.m_pid, -1);
    return *this;
}

ChildProcess::~ChildProcess() { kill(); }

void ChildProcess::kill()
{
    if (m_pid <= 0)
        return;
    ::kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
    m_pid = -1;
}

void ChildProcess::freeze() const { ::kill(m_pid, SIGSTOP); }
void ChildProcess::wake() const { ::kill(m_pid, SIGCONT); }
void ChildProcess::askToStop() const { ::kill(m_pid, SIGTERM); }

int ChildProcess::wait()
{
    int status = 0;
    waitpid(m_pid, &status, 0);
    m_pid = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

int ChildProcess::stop(std::chrono::seconds limit)
{
    askToStop();
    const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < end) {
        int status = 0;
        if (waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_pid = -1;
            return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
        }
        std::this_thread::sleep_for(exitPoll);
    }
    return -1;
}

} // namespace Plantainpier
