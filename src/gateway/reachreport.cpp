#include "gateway/reachreport.h"

#include <algorithm>
#include <map>

namespace Gypsumtally::Gateway
{

NodeReach reachOf(const UpstreamTable &table, const std::set<std::string> &engineServices,
                  const std::function<bool(const std::string &instance)> &counts)
{
    std::map<std::string, bool> isReached;
    std::size_t engines = 0;
    std::size_t cutEngines = 0;
    for (const auto &[instance, upstream] : table.all()) {
        if (!upstream.staysInService())
            continue;
        const auto &service = upstream.record.service;
        isReached[service] = isReached[service] || !upstream.isCutOff;
        if (!engineServices.contains(service) || (counts && !counts(instance)))
            continue;
        ++engines;
        cutEngines += upstream.isCutOff ? 1 : 0;
    }
    return {std::ranges::all_of(isReached, [](const auto &item) { return item.second; }), 2 * cutEngines <= engines};
}

bool addReachNews(NodeReport &report, Reachability &reach, Instant now)
{
    report.failedReach = reach.takeFailures(now);
    report.contacts = reach.takeAnswers(now);
    if (reach.takeCutsChanged()) {
        report.cutOff = reach.cuts();
        report.hasCutOff = true;
    }
    return report.hasCutOff || !report.failedReach.empty() || !report.contacts.empty();
}

void addCuts(NodeReport &digest, const Reachability &reach)
{
    digest.cutOff = reach.cuts();
    digest.hasCutOff = !digest.cutOff.empty();
}

void applyReachNews(Reachability &reach, const NodeReport &report, bool isNewest, const std::string &self,
                    const std::set<std::string> &peers, Instant now)
{
    const auto &node = report.from.node;
    for (const auto &failed : report.failedReach)
        reach.onPeerFailure(node, failed, self, peers, now);
    for (const auto &[process, age] : report.contacts)
        reach.onPeerContact(node, process, now - age);
    // A digest without cuts states that there are none.
    if (isNewest && (report.hasCutOff || report.hasInFlight))
        reach.onPeerCuts(node, report.cutOff, now);
}

} // namespace Gypsumtally::Gateway
