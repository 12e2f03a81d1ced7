#include "gateway/retryallowance.h"

namespace Gypsumtally::Gateway
{

namespace
{

/// Fraction of the permitted extra sends that is used. The rest is a reserve for windows that begin between two
/// requests.
constexpr double usableFraction = 0.9;

void dropBefore(std::deque<Instant> &times, Instant limit)
{
    while (!times.empty() && times.front() < limit)
        times.pop_front();
}

} // namespace

RetryAllowance::RetryAllowance(const RetryBound &bound)
    : m_bound(bound)
{
}

void RetryAllowance::setNodes(unsigned nodes)
{
    m_bound.nodes = std::max(1U, nodes);
}

void RetryAllowance::setBound(const RetryBound &bound)
{
    m_bound = bound;
}

RetryAllowance::Account &RetryAllowance::current(const std::string &service, Instant now)
{
    auto &account = m_accounts[service];
    dropBefore(account.requests, now - m_bound.window);
    dropBefore(account.extraSends, now - m_bound.window);
    return account;
}

void RetryAllowance::onRequest(const std::string &service, Instant now)
{
    current(service, now).requests.push_back(now);
}

double RetryAllowance::left(const std::string &service, Instant now)
{
    const auto &account = current(service, now);
    const double earned = m_bound.ratio * static_cast<double>(account.requests.size());
    const double given = m_bound.slack / std::max(1U, m_bound.nodes);
    return usableFraction * (earned + given) - static_cast<double>(account.extraSends.size());
}

std::vector<std::string> RetryAllowance::services() const
{
    std::vector<std::string> names;
    for (const auto &[service, account] : m_accounts)
        names.push_back(service);
    return names;
}

bool RetryAllowance::hasRoom(const std::string &service, Instant now)
{
    return left(service, now) >= 1;
}

bool RetryAllowance::tryTake(const std::string &service, Instant now)
{
    if (!hasRoom(service, now))
        return false;
    m_accounts[service].extraSends.push_back(now);
    return true;
}

void RetryAllowance::giveBack(const std::string &service)
{
    auto &account = m_accounts[service];
    if (!account.extraSends.empty())
        account.extraSends.pop_back();
}

} // namespace Gypsumtally::Gateway
