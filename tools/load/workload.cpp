#include "load/workload.h"

#include <algorithm>
#include <cmath>

namespace Gypsumtally::Load
{

namespace
{

constexpr std::uint32_t promptTokens = 512;
/// Number of ranks by which a popularity shift moves every adapter; large, so that popular adapters become unpopular.
constexpr std::uint32_t shiftStep = 1501;

} // namespace

Workload::Workload(const Deployment &deployment, const Scenario &scenario, std::uint64_t seed)
    : m_deployment(deployment)
    , m_scenario(scenario)
    , m_random(seed)
{
    double sum = 0;
    for (std::uint32_t rank = 1; rank <= deployment.adapters; ++rank) {
        sum += std::pow(rank, -deployment.skew);
        m_cumulative.push_back(sum);
    }
}

Arrival Workload::next()
{
    const double rate = m_deployment.callsPerSecond * m_scenario.loadFactor;
    m_now += Duration{static_cast<Duration::rep>(-std::log(1 - uniform()) / rate * 1e6)};
    Arrival arrival;
    const bool shifted = m_scenario.shiftAt && m_now - Instant{} >= *m_scenario.shiftAt;
    arrival.adapter = (drawRank() + (shifted ? shiftStep : 0)) % m_deployment.adapters;
    arrival.region = static_cast<std::uint32_t>(m_random() % m_deployment.regions);
    auto &call = arrival.call;
    call.id = ++m_lastId;
    call.model = adapterName(arrival.adapter);
    call.callerRegion = regionName(arrival.region);
    call.customer = {"customer" + std::to_string(drawCustomer())};
    call.serviceClass = drawClass();
    call.arrival = m_now;
    call.deadline = m_now + m_deployment.timeouts[static_cast<std::size_t>(call.serviceClass)];
    call.promptTokens = promptTokens;
    arrival.tokens = drawTokens(call.serviceClass);
    call.maxTokens = arrival.tokens;
    return arrival;
}

AdapterVersion Workload::adapterName(std::uint32_t number)
{
    return {"base", "adapter" + std::to_string(number), "1"};
}

RegionId Workload::regionName(std::uint32_t number)
{
    return {"region" + std::to_string(number)};
}

double Workload::uniform()
{
    return static_cast<double>(m_random() >> 11) * 0x1p-53;
}

std::uint32_t Workload::drawRank()
{
    const double point = uniform() * m_cumulative.back();
    const auto it = std::upper_bound(m_cumulative.begin(), m_cumulative.end(), point);
    return static_cast<std::uint32_t>(it - m_cumulative.begin());
}

std::uint32_t Workload::drawCustomer()
{
    if (uniform() < m_scenario.greedyFraction)
        return 0;
    return static_cast<std::uint32_t>(m_random() % m_deployment.customers);
}

std::uint32_t Workload::drawTokens(ServiceClass serviceClass)
{
    const double mean = m_deployment.meanTokens[static_cast<std::size_t>(serviceClass)];
    return static_cast<std::uint32_t>(mean * (0.5 + uniform()));
}

ServiceClass Workload::drawClass()
{
    double point = uniform();
    for (std::size_t index = 0; index + 1 < m_deployment.classMix.size(); ++index) {
        if (point < m_deployment.classMix[index])
            return static_cast<ServiceClass>(index);
        point -= m_deployment.classMix[index];
    }
    return ServiceClass::Bulk;
}

} // namespace Gypsumtally::Load
