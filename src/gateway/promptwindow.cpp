#include "gateway/promptwindow.h"

#include <algorithm>

namespace Gypsumtally::Gateway
{

namespace
{

/// Age limit of entries; longer than any pause that routes allow.
constexpr Duration retention = std::chrono::seconds{1};

} // namespace

void PromptWindow::add(double tokens, Instant at, Instant now)
{
    while (!m_entries.empty() && now - m_entries.front().at > retention)
        m_entries.pop_front();
    const auto later = std::ranges::upper_bound(m_entries, at, {}, &Entry::at);
    m_entries.insert(later, {at, tokens});
}

double PromptWindow::sum(Duration span, Instant now) const
{
    double sum = 0;
    for (const auto &entry : m_entries) {
        if (now - entry.at < span)
            sum += entry.tokens;
    }
    return sum;
}

double PromptWindow::prefillBacklog(double tokensPerMs, Instant now) const
{
    double backlog = 0;
    Instant before{};
    const auto processUntil = [&](Instant at) {
        const auto passed = std::chrono::duration<double, std::milli>(at - before).count();
        backlog = std::max(0.0, backlog - passed * tokensPerMs);
        before = at;
    };
    for (const auto &entry : m_entries) {
        if (entry.at > now)
            break;
        processUntil(entry.at);
        backlog = std::max(0.0, backlog + entry.tokens);
    }
    processUntil(now);
    return backlog;
}

/// Returns the largest number of tokens within any interval of length @p span that contains @p at.
double PromptWindow::maxSumAround(Instant at, Duration span) const
{
    double most = 0;
    const auto spanUntil = [&](Instant end) {
        double sum = 0;
        for (const auto &entry : m_entries) {
            if (entry.at <= end && end - entry.at < span)
                sum += entry.tokens;
        }
        most = std::max(most, sum);
    };
    spanUntil(at);
    for (const auto &entry : m_entries) {
        if (entry.at > at && entry.at - at < span)
            spanUntil(entry.at);
    }
    return most;
}

Instant PromptWindow::earliestSendAt(double tokens, double limit, Duration span, Instant from) const
{
    const auto hasRoom = [&](Instant at) {
        const double sumAround = maxSumAround(at, span);
        return sumAround == 0 || sumAround + tokens <= limit;
    };
    if (hasRoom(from))
        return from;
    for (const auto &entry : m_entries) {
        if (const auto at = entry.at + span; at > from && hasRoom(at))
            return at;
    }
    return m_entries.back().at + span;
}

} // namespace Gypsumtally::Gateway
