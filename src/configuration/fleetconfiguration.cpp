#include "configuration/fleetconfiguration.h"

#include "configuration/settingtable.h"

#include <algorithm>
#include <cassert>

namespace Gypsumtally
{

namespace
{

std::string quote(std::string_view text)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string quoted = "\"";
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\')
            quoted.append("\\").push_back(c);
        else if (byte < 0x20)
            quoted.append("\\x").append({digits[byte / 16], digits[byte % 16]});
        else
            quoted += c;
    }
    return quoted + '"';
}

/// Writes dotted keys as nested maps. Precondition: keys with a common prefix are consecutive.
class NestedWriter
{
public:
    NestedWriter(std::string &text, std::size_t indent)
        : m_text(text)
        , m_indent(indent)
    {
    }

    void write(std::string_view key, const std::string &value)
    {
        std::vector<std::string> path;
        for (auto dot = key.find('.'); dot != std::string_view::npos; dot = key.find('.')) {
            path.emplace_back(key.substr(0, dot));
            key.remove_prefix(dot + 1);
        }
        const auto common = static_cast<std::size_t>(std::ranges::mismatch(path, m_open).in1 - path.begin());
        for (auto depth = common; depth < path.size(); ++depth)
            line(depth, path[depth] + ":\n");
        m_open = std::move(path);
        line(m_open.size(), std::string(key) + ": " + value + '\n');
    }

private:
    void line(std::size_t depth, const std::string &content)
    {
        m_text += std::string(m_indent + 2 * depth, ' ') + content;
    }

    std::string &m_text;
    std::size_t m_indent;
    std::vector<std::string> m_open;
};

void writeException(std::string &text, const FleetException &exception)
{
    text += "  - reason: " + quote(exception.reason) + "\n    match:\n";
    for (const auto &[dimension, value] : exception.match)
        text += "      " + std::string(nameOf(dimension)) + ": " + quote(value) + '\n';
    text += "    set:\n";
    NestedWriter writer(text, 6);
    for (const auto &entry : exception.overrides)
        writer.write(entry.key, entry.value);
}

void writeService(std::string &text, const ServiceDeclaration &service)
{
    text += "  " + quote(service.name) + ":\n    calls:\n";
    for (const auto &rule : service.calls) {
        text += "      - {method: " + quote(rule.method) + ", path: " + quote(rule.pathPrefix)
                + ", idempotent: " + (rule.idempotent ? "true" : "false") + "}\n";
    }
}

void apply(const FleetException &exception, FleetSettings &settings)
{
    for (const auto &entry : exception.overrides) {
        [[maybe_unused]] const auto problem = assignSetting(*findSetting(entry.key), entry.value, settings);
        assert(problem.empty());
    }
}

} // namespace

bool FleetException::matches(const Subject &subject) const
{
    return std::ranges::all_of(match, [&](const auto &entry) { return subject[entry.first] == entry.second; });
}

std::string FleetException::identity() const
{
    std::string text;
    for (const auto &[dimension, value] : match)
        text += (text.empty() ? "" : ",") + std::string(nameOf(dimension)) + '=' + value;
    return text;
}

const ServiceDeclaration *FleetConfiguration::service(std::string_view name) const
{
    const auto found = std::ranges::find(m_services, name, &ServiceDeclaration::name);
    return found == m_services.end() ? nullptr : &*found;
}

std::string FleetConfiguration::canonicalText() const
{
    std::string text = "defaults:\n";
    NestedWriter writer(text, 2);
    for (const auto &setting : settingTable())
        writer.write(setting.key, formatSetting(setting, m_defaults));
    text += m_services.empty() ? "" : "services:\n";
    for (const auto &service : m_services)
        writeService(text, service);
    text += m_exceptions.empty() ? "" : "exceptions:\n";
    for (const auto &exception : m_exceptions)
        writeException(text, exception);
    return text;
}

std::map<std::string, std::string> FleetConfiguration::flatten() const
{
    std::map<std::string, std::string> flat;
    for (const auto &setting : settingTable())
        flat.emplace("defaults." + std::string(setting.key), formatSetting(setting, m_defaults));
    for (const auto &service : m_services) {
        for (const auto &rule : service.calls) {
            flat.emplace("services." + service.name + ": " + rule.method + ' ' + rule.pathPrefix,
                         rule.idempotent ? "idempotent" : "not idempotent");
        }
    }
    for (std::size_t i = 0; i < m_exceptions.size(); ++i) {
        const auto prefix = "exceptions[" + m_exceptions[i].identity() + "]";
        flat.emplace(prefix + " position", std::to_string(i + 1));
        flat.emplace(prefix + " reason", m_exceptions[i].reason);
        for (const auto &entry : m_exceptions[i].overrides)
            flat.emplace(prefix + '.' + entry.key, entry.value);
    }
    return flat;
}

std::vector<SettingChange> difference(const FleetConfiguration &before, const FleetConfiguration &after)
{
    const auto old = before.flatten();
    const auto now = after.flatten();
    std::vector<SettingChange> changes;
    for (const auto &[key, value] : old) {
        const auto found = now.find(key);
        if (found == now.end())
            changes.push_back({key, value, std::nullopt});
        else if (found->second != value)
            changes.push_back({key, value, found->second});
    }
    for (const auto &[key, value] : now) {
        if (!old.contains(key))
            changes.push_back({key, std::nullopt, value});
    }
    std::ranges::sort(changes, {}, &SettingChange::key);
    return changes;
}

std::string toString(const std::vector<SettingChange> &changes)
{
    std::string text;
    for (const auto &change : changes) {
        if (!change.before)
            text += "+ " + change.key + ": " + *change.after + '\n';
        else if (!change.after)
            text += "- " + change.key + ": " + *change.before + '\n';
        else
            text += "~ " + change.key + ": " + *change.before + " -> " + *change.after + '\n';
    }
    return text;
}

SettingsResolver::SettingsResolver(std::shared_ptr<const FleetConfiguration> configuration)
    : m_configuration(std::move(configuration))
{
    const auto &exceptions = m_configuration->exceptions();
    for (std::size_t i = 0; i < exceptions.size(); ++i) {
        const auto &[dimension, value] = *exceptions[i].match.begin();
        m_index[static_cast<std::size_t>(dimension)][value].push_back(i);
    }
}

const FleetSettings &SettingsResolver::resolve(const Subject &subject)
{
    ExceptionNumbers numbers;
    for (const auto &[dimension, name] : enumNames<Dimension>) {
        const auto &index = m_index[static_cast<std::size_t>(dimension)];
        const auto value = subject[dimension];
        if (index.empty() || value.empty())
            continue;
        const auto found = index.find(std::string(value));
        if (found == index.end())
            continue;
        for (const auto number : found->second) {
            if (m_configuration->exceptions()[number].matches(subject))
                numbers.push_back(number);
        }
    }
    if (numbers.empty())
        return m_configuration->defaults();
    std::ranges::sort(numbers);
    return combination(numbers);
}

const FleetSettings &SettingsResolver::combination(const ExceptionNumbers &numbers)
{
    auto &settings = m_combinations[numbers];
    if (!settings) {
        auto combined = std::make_unique<FleetSettings>(m_configuration->defaults());
        for (const auto number : numbers)
            apply(m_configuration->exceptions()[number], *combined);
        settings = std::move(combined);
    }
    return *settings;
}

} // namespace Gypsumtally
