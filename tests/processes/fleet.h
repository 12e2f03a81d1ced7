#pragma once

#include "fakes/fakeserver.h"
#include "processes/childprocess.h"
#include "processes/reservedport.h"
#include "processes/temporarydirectory.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Gypsumtally::Processes
{

namespace json = boost::json;

struct FleetOptions {
    std::size_t daemons = 3;
    std::size_t engines = 3;
    std::size_t services = 1;
    std::size_t adapters = 6;
    std::size_t slots = 3;
    std::size_t maxRunning = 8;
    std::int64_t tokenIntervalMs = 5;
    std::int64_t vmListLagMs = 0; ///< Time until a change of the VM list becomes visible.
    bool fencing = true;
    std::string leaseTtl = "2s";
    bool keepFiles = false; ///< Keep logs and journals after the run.
    std::string extraSettings; ///< YAML lines appended to the settings of each daemon.
};

/// One process of a fleet. Its address, log file and journal file stay the same when it is restarted.
class FleetProcess
{
public:
    FleetProcess(std::string name, const TemporaryDirectory &directory, std::vector<std::string> command);

    const std::string &name() const
    {
        return m_name;
    }

    Http::Endpoint endpoint() const
    {
        return m_port.endpoint();
    }

    std::string address() const
    {
        return Http::toString(endpoint());
    }

    /// Appends a command-line argument. Precondition: the process has not been started.
    void addArgument(std::string argument);

    /// Starts the process. Kills the previous run first if there is one.
    void start();

    /// Returns the current run. Precondition: start() was called.
    ChildProcess &process();

    /// Returns the journal events of all runs of a fake.
    std::vector<json::object> journal() const;

    const std::string &logFile() const
    {
        return m_logFile;
    }

    const std::string &journalFile() const
    {
        return m_journalFile;
    }

private:
    std::string m_name;
    ReservedPort m_port;
    std::string m_logFile;
    std::string m_journalFile;
    std::vector<std::string> m_command;
    std::unique_ptr<ChildProcess> m_process;
};

/// The fakes and daemons of a test fleet, each in its own process; the number of daemons may be 0. All processes are
/// killed when this object is destroyed.
class Fleet
{
public:
    using FleetProcesses = std::vector<std::unique_ptr<FleetProcess>>;

    /// Starts the processes and waits until all of them answer. Throws std::runtime_error if one doesn't.
    explicit Fleet(const FleetOptions &options);

    FleetProcess &keyValue()
    {
        return *m_keyValue;
    }

    FleetProcess &vmList()
    {
        return *m_vmList;
    }

    FleetProcess &weightStore()
    {
        return *m_weightStore;
    }

    FleetProcesses &engines()
    {
        return m_engines;
    }

    FleetProcesses &services()
    {
        return m_services;
    }

    FleetProcesses &daemons()
    {
        return m_daemons;
    }

    /// Returns the address on which a daemon serves peers and operators.
    Http::Endpoint peerEndpoint(std::size_t daemon) const
    {
        return m_peerPorts[daemon]->endpoint();
    }

    const std::string &operatorToken() const
    {
        return m_operatorToken;
    }

    const TemporaryDirectory &directory() const
    {
        return m_directory;
    }

    /// Waits until `/readyz` of every daemon answers 200. Throws std::runtime_error if a daemon has exited or isn't
    /// ready within the timeout.
    void awaitReady();

    /// Returns true if a GET request for @p target is answered with @p status.
    static bool answers(const Http::Endpoint &endpoint, const std::string &target, unsigned status);

    /// Sends @p fields to `/fake/control` of a fake. Throws std::runtime_error if it is not answered with 200.
    static void sendControl(const FleetProcess &fake, const json::object &fields);

    /// Returns `/fake/journal` of a fake. Throws std::runtime_error if there is no response.
    static json::object report(const FleetProcess &fake);

    /// Returns the VM list entry of an engine or service; @p state is "live" or "leaving".
    json::object vm(const FleetProcess &upstream, std::string_view state) const;

private:
    FleetProcess &startFake(std::unique_ptr<FleetProcess> &place, const std::string &program, const std::string &name,
                            std::vector<std::string> arguments);
    void startUpstreams();
    void startDaemons();
    std::string settingsOf(std::size_t daemon) const;
    void writeFile(const std::string &name, const std::string &text) const;

    FleetOptions m_options;
    std::string m_operatorToken = "operator-token-of-the-process-tests";
    TemporaryDirectory m_directory;
    std::vector<std::unique_ptr<ReservedPort>> m_peerPorts;
    std::unique_ptr<FleetProcess> m_keyValue;
    std::unique_ptr<FleetProcess> m_vmList;
    std::unique_ptr<FleetProcess> m_weightStore;
    FleetProcesses m_engines;
    FleetProcesses m_services;
    FleetProcesses m_daemons;
};

} // namespace Gypsumtally::Processes
