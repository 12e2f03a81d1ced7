#include "processes/childprocess.h"

#include "processes/waiting.h"

#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <system_error>
#include <unistd.h>

namespace Gypsumtally::Processes
{

namespace
{

pid_t spawn(const std::vector<std::string> &command, const std::string &logFile)
{
    std::vector<char *> arguments;
    arguments.reserve(command.size() + 1);
    for (const auto &argument : command)
        arguments.push_back(const_cast<char *>(argument.c_str()));
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // Otherwise connections that the test closes would stay open in the child process.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    pid_t id = -1;
    const int error = posix_spawnp(&id, arguments[0], &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0)
        throw std::system_error(error, std::generic_category(), command.front());
    return id;
}

} // namespace

ChildProcess::ChildProcess(std::vector<std::string> command, const std::string &logFile)
{
    // setpriv execs the command with a parent-death signal: the command is killed when the thread that started it ends.
    command.insert(command.begin(), {"setpriv", "--pdeathsig", "KILL"});
    m_id = spawn(command, logFile);
}

ChildProcess::~ChildProcess()
{
    kill();
}

void ChildProcess::signal(int number) const
{
    if (!m_status)
        ::kill(m_id, number);
}

void ChildProcess::kill()
{
    if (m_status)
        return;
    ::kill(m_id, SIGKILL);
    int status = 0;
    while (::waitpid(m_id, &status, 0) < 0 && errno == EINTR) { }
    m_status = status;
}

std::optional<int> ChildProcess::wait(Duration deadline)
{
    eventually([this] { return !isRunning(); }, deadline);
    return m_status;
}

bool ChildProcess::isRunning()
{
    int status = 0;
    if (!m_status && ::waitpid(m_id, &status, WNOHANG) == m_id)
        m_status = status;
    return !m_status;
}

} // namespace Gypsumtally::Processes
