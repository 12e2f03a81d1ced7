#include "gateway/reachreport.h"

namespace Gypsumtally::Gateway
{

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
