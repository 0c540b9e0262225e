#include "Process/ChildProcess.h"

#include <csignal>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <system_error>
#include <thread>
#include <unistd.h>
#include <utility>

namespace Plantainpier {

namespace {

    constexpr std::chrono::milliseconds exitPollInterval(10);
    constexpr int exitCannotExecute = 127;

} // namespace

ChildProcess::ChildProcess(const std::vector<std::string>& command, const std::string& outputFile, bool endsWithThread)
{
    std::vector<char*> arguments;
    arguments.reserve(command.size() + 1);
    for (const std::string& argument : command)
        arguments.push_back(const_cast<char*>(argument.c_str()));
    arguments.push_back(nullptr);
    const pid_t parent = getpid();
    m_pid = fork();
    if (m_pid < 0)
        throw std::system_error(errno, std::generic_category(), "cannot start " + command.front());
    if (m_pid != 0)
        return;
    if (endsWithThread)
        prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (endsWithThread && getppid() != parent)
        _exit(exitCannotExecute);
    sigset_t noSignals;
    sigemptyset(&noSignals);
    sigprocmask(SIG_SETMASK, &noSignals, nullptr);
    const int output = open(outputFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    execv(arguments.front(), arguments.data());
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
void ChildProcess::resume() const { ::kill(m_pid, SIGCONT); }
void ChildProcess::requestStop() const { ::kill(m_pid, SIGTERM); }

int ChildProcess::wait()
{
    int status = 0;
    waitpid(m_pid, &status, 0);
    m_pid = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

int ChildProcess::stop(std::chrono::seconds limit)
{
    requestStop();
    const std::chrono::steady_clock::time_point deadline = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < deadline) {
        int status = 0;
        if (waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_pid = -1;
            return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
        }
        std::this_thread::sleep_for(exitPollInterval);
    }
    return -1;
}

} // namespace Plantainpier
