#include "gateway/gatewaylog.h"

#include <algorithm>

namespace Gypsumtally::Gateway
{

namespace
{

constexpr unsigned maxLinesPerSecond = 20; ///< Per event; writes about 5 kB/s and takes 1% of a quarter of a core.
constexpr std::size_t maxJoinedNames = 16; ///< In one line.

} // namespace

GatewayLog::GatewayLog(const Logging &log)
    : m_log(log)
{
}

void GatewayLog::note(GatewayEvent event, const std::vector<LogField> &fields)
{
    m_log.log(LogLevel::Info, nameOf(event), fields);
}

void GatewayLog::detail(GatewayEvent event, const std::string &requestId, std::vector<LogField> fields)
{
    fields.insert(fields.begin(), {"request", requestId});
    m_log.log(LogLevel::Debug, nameOf(event), fields);
}

void GatewayLog::decision(GatewayEvent event, const std::string &requestId, std::vector<LogField> fields)
{
    const auto now = BootClock{}.now();
    auto &window = m_windows[static_cast<std::size_t>(event)];
    if (now - window.since >= std::chrono::seconds{1}) {
        if (window.suppressed > 0)
            fields.emplace_back("left_out_before", std::to_string(window.suppressed));
        window = {now, 0, 0};
    }
    if (window.lines >= maxLinesPerSecond) {
        ++window.suppressed;
        return;
    }
    ++window.lines;
    fields.insert(fields.begin(), {"request", requestId});
    m_log.log(LogLevel::Info, nameOf(event), fields);
}

std::string joined(const std::vector<std::string> &names)
{
    std::string text;
    for (std::size_t i = 0; i < std::min(names.size(), maxJoinedNames); ++i)
        text.append(i == 0 ? "" : ",").append(names[i]);
    return text;
}

} // namespace Gypsumtally::Gateway
