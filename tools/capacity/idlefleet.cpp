#include "capacity/idlefleet.h"

#include "processes/fleet.h"

#include <chrono>
#include <fstream>
#include <string>
#include <thread>
#include <unistd.h>

namespace Gypsumtally::Capacity
{

namespace
{

constexpr std::chrono::seconds settleTime{8};
constexpr std::chrono::seconds measuredTime{10};

double processorSeconds(pid_t id)
{
    std::ifstream file("/proc/" + std::to_string(id) + "/stat");
    std::string field;
    double ticks = 0;
    for (int index = 1; file >> field; ++index) {
        if (index == 14 || index == 15) // utime and stime, see proc(5)
            ticks += std::stod(field);
    }
    return ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

double residentBytes(pid_t id)
{
    std::ifstream file("/proc/" + std::to_string(id) + "/statm");
    double size = 0;
    double resident = 0;
    file >> size >> resident;
    return resident * static_cast<double>(::sysconf(_SC_PAGESIZE));
}

double keyValueCalls(Processes::Fleet &fleet)
{
    const auto report = Processes::Fleet::report(fleet.keyValue());
    double calls = 0;
    for (const auto &[kind, count] : report.at("calls").as_object())
        calls += count.to_number<double>();
    return calls;
}

} // namespace

IdleCost measureIdle(std::size_t daemons)
{
    Processes::FleetOptions options;
    options.daemons = daemons;
    options.engines = 2 * daemons;
    options.leaseTtl = "10s";
    Processes::Fleet fleet(options);
    std::this_thread::sleep_for(settleTime);
    const auto sum = [&](auto &&measure) {
        double total = 0;
        for (const auto &daemon : fleet.daemons())
            total += measure(daemon->process().id());
        return total / static_cast<double>(daemons);
    };
    const double callsBefore = keyValueCalls(fleet);
    const double timeBefore = sum(processorSeconds);
    std::this_thread::sleep_for(measuredTime);
    const auto seconds = static_cast<double>(measuredTime.count());
    IdleCost cost;
    cost.coreFraction = (sum(processorSeconds) - timeBefore) / seconds;
    cost.keyValueCallsPerSecond = (keyValueCalls(fleet) - callsBefore) / seconds / static_cast<double>(daemons);
    cost.residentBytes = sum(residentBytes);
    return cost;
}

} // namespace Gypsumtally::Capacity
