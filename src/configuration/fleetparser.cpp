#include "configuration/fleetconfiguration.h"
#include "configuration/settingtable.h"
#include "yaml/mapreader.h"

#include <algorithm>

namespace Gypsumtally
{

namespace
{

std::string exceptionProblem(const SettingDescriptor &setting, const FleetException &exception)
{
    std::string allowed;
    for (const auto &[dimension, name] : enumNames<Dimension>) {
        if (setting.exceptions.contains(dimension))
            allowed += (allowed.empty() ? "" : ", ") + std::string(name);
    }
    for (const auto &[dimension, value] : exception.match) {
        if (setting.exceptions.contains(dimension))
            continue;
        if (allowed.empty())
            return "holds for the whole fleet; no exception may set it";
        return "can't be set by " + std::string(nameOf(dimension)) + "; allowed: " + allowed;
    }
    return {};
}

/// Reads nested maps of settings and records which settings the text contains.
class SettingsReader
{
public:
    SettingsReader(ProblemLog &log, FleetSettings &settings)
        : m_log(log)
        , m_settings(settings)
    {
    }

    /// Reads the settings below @p prefix, which is empty or a dotted key with a trailing dot.
    void read(const YAML::Node &node, const std::string &path, const std::string &prefix)
    {
        MapReader reader(node, path, m_log);
        if (!node.IsMap())
            return;
        for (const auto &name : namesUnder(prefix)) {
            const auto child = reader.child(name, Presence::Optional);
            if (!child.IsDefined())
                continue;
            if (const auto *setting = findSetting(prefix + name))
                readSetting(child, reader.keyOf(name), *setting);
            else
                read(child, reader.keyOf(name), prefix + name + '.');
        }
        reader.finish();
    }

    struct Given {
        const SettingDescriptor *setting;
        int line;
    };

    const std::vector<Given> &given() const
    {
        return m_given;
    }

private:
    static std::vector<std::string> namesUnder(const std::string &prefix)
    {
        std::vector<std::string> names;
        for (const auto &setting : settingTable()) {
            if (!setting.key.starts_with(prefix))
                continue;
            const auto rest = setting.key.substr(prefix.size());
            std::string name(rest.substr(0, rest.find('.')));
            if (names.empty() || names.back() != name)
                names.push_back(std::move(name));
        }
        return names;
    }

    void readSetting(const YAML::Node &node, const std::string &path, const SettingDescriptor &setting)
    {
        if (!node.IsScalar()) {
            m_log.add(node, path, "must be a single value");
            return;
        }
        const auto problem = assignSetting(setting, node.Scalar(), m_settings);
        if (!problem.empty())
            m_log.add(node, path, "'" + node.Scalar() + "' " + problem);
        m_given.push_back({&setting, node.Mark().line + 1});
    }

    ProblemLog &m_log;
    FleetSettings &m_settings;
    std::vector<Given> m_given;
};

void readMatch(MapReader &reader, FleetException &exception)
{
    for (const auto &[dimension, name] : enumNames<Dimension>) {
        std::string value;
        reader.scalar(std::string(name), Presence::Optional, value);
        if (!value.empty())
            exception.match.emplace(dimension, std::move(value));
    }
}

FleetException readException(const YAML::Node &node, const std::string &path, ProblemLog &log)
{
    FleetException exception;
    MapReader reader(node, path, log);
    if (!node.IsMap())
        return exception;
    reader.scalar("reason", Presence::Required, exception.reason);
    reader.map("match", Presence::Required, [&](MapReader &map) {
        readMatch(map, exception);
        if (exception.match.empty())
            log.add(map.node(), path + ".match", "must name a customer, adapter, base, region or upstream");
    });
    FleetSettings settings;
    SettingsReader values(log, settings);
    if (const auto set = reader.child("set", Presence::Required); set.IsDefined())
        values.read(set, path + ".set", {});
    reader.finish();
    for (const auto &[setting, line] : values.given()) {
        const auto problem = exceptionProblem(*setting, exception);
        if (!problem.empty())
            log.addAtLine(line, path + ".set." + std::string(setting->key), problem);
        exception.overrides.push_back({std::string(setting->key), formatSetting(*setting, settings)});
    }
    return exception;
}

std::vector<FleetException> readExceptions(const YAML::Node &list, ProblemLog &log)
{
    std::vector<FleetException> exceptions;
    if (list.IsDefined() && !list.IsSequence())
        log.add(list, "exceptions", "must be a list");
    if (!list.IsDefined() || !list.IsSequence())
        return exceptions;
    for (std::size_t i = 0; i < list.size(); ++i) {
        const auto path = "exceptions[" + std::to_string(i) + "]";
        auto exception = readException(list[i], path, log);
        const bool isRepeated = !exception.match.empty() && std::ranges::any_of(exceptions, [&](const auto &earlier) {
            return earlier.match == exception.match;
        });
        if (isRepeated)
            log.add(list[i], path + ".match", "an earlier exception matches the same; put both into one");
        exceptions.push_back(std::move(exception));
    }
    return exceptions;
}

ServiceCallRule readCall(const YAML::Node &node, const std::string &path, ProblemLog &log)
{
    ServiceCallRule rule;
    MapReader reader(node, path, log);
    if (!node.IsMap())
        return rule;
    reader.scalar("method", Presence::Required, rule.method);
    reader.scalar("path", Presence::Required, rule.pathPrefix);
    reader.scalar("idempotent", Presence::Required, rule.idempotent);
    reader.finish();
    if (!rule.pathPrefix.empty() && normalisePath(rule.pathPrefix) != rule.pathPrefix)
        log.add(node, path + ".path",
                "'" + rule.pathPrefix + "' must start with / and have no query, dots or end slash");
    const auto isMethodCharacter = [](char c) { return c >= 'A' && c <= 'Z'; };
    if (!rule.method.empty() && rule.method != "*" && !std::ranges::all_of(rule.method, isMethodCharacter))
        log.add(node, path + ".method", "'" + rule.method + "' must be * or an HTTP method in capitals");
    return rule;
}

void readCalls(const YAML::Node &list, const std::string &path, ProblemLog &log, ServiceDeclaration &service)
{
    if (!list.IsSequence() || list.size() == 0) {
        log.add(list, path, "must be a list with at least one entry");
        return;
    }
    for (std::size_t i = 0; i < list.size(); ++i) {
        const auto callPath = path + '[' + std::to_string(i) + ']';
        auto rule = readCall(list[i], callPath, log);
        const bool isRepeated = std::ranges::any_of(service.calls, [&](const auto &earlier) {
            return earlier.method == rule.method && earlier.pathPrefix == rule.pathPrefix;
        });
        if (isRepeated)
            log.add(list[i], callPath, "an earlier entry has the same method and path");
        service.calls.push_back(std::move(rule));
    }
    std::ranges::sort(service.calls, {}, [](const auto &rule) { return std::pair{rule.pathPrefix, rule.method}; });
}

bool isServiceName(const std::string &name)
{
    constexpr std::string_view allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
    return !name.empty() && name.find_first_not_of(allowed) == std::string::npos;
}

std::vector<ServiceDeclaration> readServices(const YAML::Node &map, ProblemLog &log)
{
    std::vector<ServiceDeclaration> services;
    if (!map.IsDefined())
        return services;
    MapReader reader(map, "services", log);
    if (!map.IsMap())
        return services;
    for (const auto &entry : map) {
        if (!entry.first.IsScalar())
            continue;
        ServiceDeclaration service{entry.first.Scalar(), {}};
        if (!isServiceName(service.name))
            log.add(entry.first, reader.keyOf(service.name),
                    "a service's name holds only letters, digits, '.', '_', '-'");
        reader.map(service.name, Presence::Required, [&](MapReader &nested) {
            const auto calls = nested.child("calls", Presence::Required);
            if (calls.IsDefined())
                readCalls(calls, nested.keyOf("calls"), log, service);
        });
        services.push_back(std::move(service));
    }
    std::ranges::sort(services, {}, &ServiceDeclaration::name);
    return services;
}

} // namespace

Parsed<FleetConfiguration> FleetConfiguration::parse(const std::string &text, const std::string &file)
{
    FleetConfiguration configuration;
    ProblemLog log{file, {}};
    readDocument(text, log, [&](MapReader &reader) {
        SettingsReader defaults(log, configuration.m_defaults);
        if (const auto node = reader.child("defaults", Presence::Required); node.IsDefined())
            defaults.read(node, "defaults", {});
        configuration.m_services = readServices(reader.child("services", Presence::Optional), log);
        configuration.m_exceptions = readExceptions(reader.child("exceptions", Presence::Optional), log);
    });
    if (!log.problems.empty())
        return {std::nullopt, std::move(log.problems)};
    return {std::move(configuration), {}};
}

} // namespace Gypsumtally
