#include "processes/fleet.h"

#include "http/client.h"
#include "processes/waiting.h"

#include <array>
#include <fstream>
#include <stdexcept>

namespace Gypsumtally::Processes
{

namespace
{

constexpr std::array<const char *, 3> regions{"north", "middle", "south"};

std::string flag(const std::string &name, const auto &value)
{
    if constexpr (requires { std::to_string(value); })
        return "--" + name + '=' + std::to_string(value);
    else
        return "--" + name + '=' + value;
}

} // namespace

FleetProcess::FleetProcess(std::string name, const TemporaryDirectory &directory, std::vector<std::string> command)
    : m_name(std::move(name))
    , m_logFile(directory.file(m_name + ".log"))
    , m_journalFile(directory.file(m_name + ".journal"))
    , m_command(std::move(command))
{
}

void FleetProcess::addArgument(std::string argument)
{
    m_command.push_back(std::move(argument));
}

void FleetProcess::start()
{
    m_process.reset();
    m_process = std::make_unique<ChildProcess>(m_command, m_logFile);
}

ChildProcess &FleetProcess::process()
{
    return *m_process;
}

std::vector<json::object> FleetProcess::journal() const
{
    std::vector<json::object> events;
    std::ifstream file(m_journalFile);
    for (std::string line; std::getline(file, line);)
        events.push_back(Fakes::parseObject(line));
    return events;
}

Fleet::Fleet(const FleetOptions &options)
    : m_options(options)
{
    if (options.keepFiles)
        m_directory.keep();
    startFake(m_keyValue, FAKE_KEYVALUE, "key-value", {});
    startFake(m_vmList, FAKE_VMLIST, "vm-list", {flag("lag_ms", options.vmListLagMs)});
    startFake(m_weightStore, FAKE_WEIGHTSTORE, "weight-store", {flag("adapters", options.adapters)});
    startUpstreams();
    startDaemons();
    awaitReady();
}

FleetProcess &Fleet::startFake(std::unique_ptr<FleetProcess> &place, const std::string &program,
                               const std::string &name, std::vector<std::string> arguments)
{
    place = std::make_unique<FleetProcess>(name, m_directory, std::vector<std::string>{program});
    place->addArgument(flag("listen", place->address()));
    place->addArgument(flag("journal_file", place->journalFile()));
    for (auto &argument : arguments)
        place->addArgument(std::move(argument));
    place->start();
    const auto endpoint = place->endpoint();
    waitUntil(name + " to answer", [&] { return answers(endpoint, "/fake/journal", 200); });
    return *place;
}

void Fleet::startUpstreams()
{
    json::array vms;
    for (std::size_t index = 0; index < m_options.engines; ++index) {
        std::vector<std::string> arguments{flag("weight_store", m_weightStore->address()),
                                           flag("slots", m_options.slots),
                                           flag("max_running", m_options.maxRunning),
                                           flag("token_interval_ms", m_options.tokenIntervalMs),
                                           flag("fencing", std::string(m_options.fencing ? "true" : "false")),
                                           "--crash_on_prompt"};
        startFake(m_engines.emplace_back(), FAKE_ENGINE, "engine-" + std::to_string(index), std::move(arguments));
        vms.emplace_back(vm(*m_engines.back(), "live"));
    }
    for (std::size_t index = 0; index < m_options.services; ++index) {
        startFake(m_services.emplace_back(), FAKE_SERVICE, "service-" + std::to_string(index), {"--crash_on_request"});
        vms.emplace_back(vm(*m_services.back(), "live"));
    }
    sendControl(*m_vmList, {{"upsert", std::move(vms)}});
}

json::object Fleet::vm(const FleetProcess &upstream, std::string_view state) const
{
    const bool isEngine = upstream.name().starts_with("engine");
    const auto index = static_cast<std::size_t>(std::stoi(upstream.name().substr(upstream.name().rfind('-') + 1)));
    const std::string region = regions.at(index % regions.size());
    json::object vm{{"id", upstream.name()}, {"role", isEngine ? "engine" : "service"},
                    {"state", state},        {"address", upstream.address()},
                    {"region", region},      {"failure_domain", region + "-a"}};
    if (isEngine)
        vm["base"] = "base";
    else
        vm["service"] = "booking";
    return vm;
}

void Fleet::startDaemons()
{
    if (m_options.daemons == 0)
        return;
#ifdef GYPSUMTALLYD
    writeFile("peer.key", "a-key-that-only-the-process-tests-use\n");
    writeFile("operator.token", m_operatorToken + '\n');
    for (std::size_t index = 0; index < m_options.daemons; ++index) {
        m_peerPorts.push_back(std::make_unique<ReservedPort>());
        const auto name = "entry-" + std::to_string(index);
        m_daemons.push_back(std::make_unique<FleetProcess>(name, m_directory, std::vector<std::string>{GYPSUMTALLYD}));
        writeFile(name + ".yaml", settingsOf(index));
        m_daemons.back()->addArgument(flag("settings", m_directory.file(name + ".yaml")));
        m_daemons.back()->start();
    }
#else
    throw std::runtime_error("this build does not include gypsumtallyd");
#endif
}

std::string Fleet::settingsOf(std::size_t daemon) const
{
    const std::string region = regions.at(daemon % regions.size());
    return "node: " + m_daemons[daemon]->name() + "\nregion: " + region + "\nfailure_domain: " + region + "-a\n"
           + "callers: {listen: '" + m_daemons[daemon]->address() + "'}\n" + "peers: {listen: '"
           + Http::toString(peerEndpoint(daemon)) + "'}\n" + "platform:\n  key_value: ['" + m_keyValue->address()
           + "']\n  vm_list: '" + m_vmList->address() + "'\n  weight_store: '" + m_weightStore->address() + "'\n"
           + "peer_key_files: ['" + m_directory.file("peer.key") + "']\n" + "operator_token_file: '"
           + m_directory.file("operator.token") + "'\n" + "lease_ttl: " + m_options.leaseTtl + "\n"
           + "log: {format: json, level: info}\n" + m_options.extraSettings;
}

void Fleet::writeFile(const std::string &name, const std::string &text) const
{
    std::ofstream(m_directory.file(name)) << text;
}

void Fleet::awaitReady()
{
    for (const auto &daemon : m_daemons) {
        waitUntil(daemon->name() + " to be ready",
                  [&] { return !daemon->process().isRunning() || answers(daemon->endpoint(), "/readyz", 200); });
        if (!daemon->process().isRunning())
            throw std::runtime_error(daemon->name() + " has exited");
    }
}

bool Fleet::answers(const Http::Endpoint &endpoint, const std::string &target, unsigned status)
{
    const auto result = Http::fetch(endpoint, {"GET", target, {}, {}});
    return result.response && result.response->status == status;
}

void Fleet::sendControl(const FleetProcess &fake, const json::object &fields)
{
    const auto result = Http::fetch(fake.endpoint(), {"POST", "/fake/control", {}, json::serialize(fields)});
    if (!result.response || result.response->status != 200)
        throw std::runtime_error(fake.name() + " rejected a control request: " + result.failure.reason);
}

json::object Fleet::report(const FleetProcess &fake)
{
    const auto result = Http::fetch(fake.endpoint(), {"GET", "/fake/journal", {}, {}});
    if (!result.response)
        throw std::runtime_error(fake.name() + " did not return its journal: " + result.failure.reason);
    return Fakes::parseObject(result.response->body);
}

} // namespace Gypsumtally::Processes
