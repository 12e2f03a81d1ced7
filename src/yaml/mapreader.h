#pragma once

#include "common/enumtable.h"
#include "http/message.h"
#include "yaml/duration.h"
#include "yaml/problem.h"

#include <yaml-cpp/yaml.h>

#include <concepts>
#include <functional>
#include <limits>
#include <set>
#include <string>
#include <vector>

namespace Gypsumtally
{

enum class Presence {
    Required,
    Optional,
};

/// The smallest and largest allowed value.
template<typename T>
struct Bounds {
    T min{};
    T max = std::numeric_limits<T>::max();
};

/// The problems found in one file.
struct ProblemLog {
    std::string file;
    std::vector<Problem> problems;

    /// Adds a problem at the line of @p node.
    void add(const YAML::Node &node, std::string key, std::string message);
    /// Adds a problem at @p line, counted from 1.
    void addAtLine(int line, std::string key, std::string message);
};

/// Converts a scalar; returns an empty string, or a description of the allowed values if @p text is invalid, in which
/// case @p value is unchanged.
std::string convertScalar(const std::string &text, std::string &value);
std::string convertScalar(const std::string &text, bool &value);
std::string convertScalar(const std::string &text, Http::Endpoint &value);
std::string convertScalar(const std::string &text, double &value, Bounds<double> bounds);
std::string convertScalar(const std::string &text, std::uint64_t &value, Bounds<std::uint64_t> bounds);
std::string convertScalar(const std::string &text, Duration &value, Bounds<Duration> bounds);

template<typename E>
    requires std::is_enum_v<E> std::string convertScalar(const std::string &text, E &value)
    {
        if (const auto found = valueOf<E>(text)) {
            value = *found;
            return {};
        }
        std::string allowed = "must be one of";
        for (const auto &[candidate, name] : enumNames<E>)
            allowed += ' ' + std::string(name);
        return allowed;
    }

/// Reads the keys of a YAML map and reports the problems found. Not thread-safe.
class MapReader
{
public:
    /// Reports a problem if @p node is not a map or has duplicate keys. @p path is the dotted path of the map, empty
    /// for the top level.
    MapReader(const YAML::Node &node, std::string path, ProblemLog &log);

    /// Returns the node at @p name, or an undefined node; reports a missing required key.
    YAML::Node child(const std::string &name, Presence presence);

    /// Reads a scalar into @p value, which is unchanged if the key is missing or its value is invalid.
    template<typename T, typename... Limits>
    void scalar(const std::string &name, Presence presence, T &value, Limits... limits)
    {
        const auto node = child(name, presence);
        if (node.IsDefined())
            readScalar(node, keyOf(name), value, limits...);
    }

    /// Reads a list of scalars; reports an empty list, even if the key is optional.
    template<typename T>
    void list(const std::string &name, Presence presence, std::vector<T> &values)
    {
        const auto node = child(name, presence);
        if (!node.IsDefined())
            return;
        if (!node.IsSequence() || node.size() == 0) {
            m_log.add(node, keyOf(name), "must be a list with at least one entry");
            return;
        }
        for (std::size_t i = 0; i < node.size(); ++i)
            readScalar(node[i], keyOf(name) + '[' + std::to_string(i) + ']', values.emplace_back());
    }

    /// Reads a nested map with @p read; reports a missing required key.
    void map(const std::string &name, Presence presence, const std::function<void(MapReader &)> &read);

    /// Reports every key that was not read. Must be called last.
    void finish();

    /// Returns the dotted path of the key @p name.
    std::string keyOf(const std::string &name) const;

    const YAML::Node &node() const
    {
        return m_node;
    }

private:
    template<typename T, typename... Limits>
    void readScalar(const YAML::Node &node, const std::string &key, T &value, Limits... limits)
    {
        if (!node.IsScalar()) {
            m_log.add(node, key, "must be a single value");
            return;
        }
        const auto allowed = convertScalar(node.Scalar(), value, limits...);
        if (!allowed.empty())
            m_log.add(node, key, "'" + node.Scalar() + "' " + allowed);
    }

    YAML::Node m_node;
    std::string m_path;
    ProblemLog &m_log;
    std::set<std::string> m_known;
};

/// Parses @p text and reads its top-level map with @p read; reports text that is not YAML.
void readDocument(const std::string &text, ProblemLog &log, const std::function<void(MapReader &)> &read);

} // namespace Gypsumtally
