#pragma once

#include "common/clock.h"

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace Gypsumtally::Processes
{

/// A child process. It is killed by its process id when this object is destroyed, and by the kernel when the thread
/// that started it ends.
class ChildProcess
{
public:
    /// Starts @p command and appends its standard output and error to @p logFile. Throws std::system_error if it can't
    /// be started.
    ChildProcess(std::vector<std::string> command, const std::string &logFile);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    pid_t id() const
    {
        return m_id;
    }

    /// Sends a signal. Does nothing after the exit of the process has been collected by wait(), kill() or isRunning().
    void signal(int number) const;

    /// Sends SIGKILL and waits for the process to end.
    void kill();

    /// Waits for the process to end and returns its wait status, or nothing if it still runs after @p deadline.
    std::optional<int> wait(Duration deadline);

    /// Returns true if the process has not ended.
    bool isRunning();

private:
    pid_t m_id = -1;
    std::optional<int> m_status;
};

} // namespace Gypsumtally::Processes
