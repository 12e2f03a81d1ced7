#pragma once

#include "settings/settings.h"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Gypsumtally
{

/// The name and value of a field in a log line.
using LogField = std::pair<std::string, std::string>;

/// The log of the process on standard output, with one line per event, as text or as a JSON object. Must be created
/// once, before any thread logs; log() is thread-safe.
class Logging
{
public:
    Logging(LogLevel level, LogFormat format, std::string node);
    ~Logging();
    Logging(const Logging &) = delete;
    Logging &operator=(const Logging &) = delete;

    LogLevel level() const
    {
        return m_level;
    }

    /// Logs an event if its level is enabled. Does not wait until the line is written.
    void log(LogLevel level, std::string_view event, const std::vector<LogField> &fields) const;

private:
    LogLevel m_level;
    LogFormat m_format;
    std::string m_node;
};

} // namespace Gypsumtally
