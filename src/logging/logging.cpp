#include "logging/logging.h"

#include <boost/json.hpp>
#include <log4cplus/asyncappender.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <chrono>
#include <memory>

namespace Gypsumtally
{

namespace
{

constexpr unsigned queueLength = 4096;
constexpr char loggerName[] = "gypsumtally";

log4cplus::LogLevel toLibrary(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::Warning:
        return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::Error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::INFO_LOG_LEVEL;
}

std::string asText(std::string_view event, const std::vector<LogField> &fields)
{
    std::string line(event);
    for (const auto &[name, value] : fields)
        line.append(" ").append(name).append("=").append(value);
    return line;
}

std::string asJson(LogLevel level, const std::string &node, std::string_view event, const std::vector<LogField> &fields)
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    boost::json::object object{{"time_ms", std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count()},
                               {"level", nameOf(level)},
                               {"node", node},
                               {"event", event}};
    for (const auto &[name, value] : fields)
        object[name] = value;
    return boost::json::serialize(object);
}

} // namespace

Logging::Logging(LogLevel level, LogFormat format, std::string node)
    : m_level(level)
    , m_format(format)
    , m_node(std::move(node))
{
    log4cplus::initialize();
    const auto *pattern = format == LogFormat::Json ? "%m%n" : "%D{%Y-%m-%dT%H:%M:%S.%q} %-5p %m%n";
    log4cplus::SharedAppenderPtr console(new log4cplus::ConsoleAppender(false, true));
    console->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
    log4cplus::SharedAppenderPtr queue(new log4cplus::AsyncAppender(console, queueLength));
    auto logger = log4cplus::Logger::getInstance(loggerName);
    logger.setAdditivity(false);
    logger.setLogLevel(toLibrary(level));
    logger.addAppender(queue);
}

Logging::~Logging()
{
    log4cplus::Logger::shutdown();
}

void Logging::log(LogLevel level, std::string_view event, const std::vector<LogField> &fields) const
{
    if (level < m_level)
        return;
    const auto line = m_format == LogFormat::Json ? asJson(level, m_node, event, fields) : asText(event, fields);
    log4cplus::Logger::getInstance(loggerName).log(toLibrary(level), line);
}

} // namespace Gypsumtally
