#pragma once

#include "settings/settings.h"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Gypsumtally
{

/// One name and value of a log line.
using LogField = std::pair<std::string, std::string>;

/// The process's log, on standard output: one line an event, as text or as a JSON object. Created once, before any
/// thread logs; log() is thread-safe.
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

    /// Writes an event. Does not wait for the line to be written out.
    void log(LogLevel level, std::string_view event, const std::vector<LogField> &fields) const;

private:
    LogLevel m_level;
    LogFormat m_format;
    std::string m_node;
};

} // namespace Gypsumtally
