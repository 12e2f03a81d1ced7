#pragma once

#include "configuration/configurationkeeper.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Gypsumtally::Testing
{

/// The maximum time until an accepted change must be in force on a live node.
inline constexpr Duration inForceBound = std::chrono::seconds{8};

/// The result of a KeeperHistory.
struct HistoryReport {
    std::string violation; ///< The first violated invariant; empty if all held.
    unsigned accepted = 0;
    unsigned refused = 0;
    unsigned unknown = 0;
    Duration longestLag{}; ///< Longest time that a live node lacked an accepted change available to it.
};

/// A simulated history on virtual time: nodes that restart, a key-value service with outages, lost replies, late writes
/// and stale reads, a network that loses messages, and concurrent operators. The same seed gives the same history.
class KeeperHistory
{
public:
    KeeperHistory(std::uint64_t seed, ConfigurationGuards guards);

    /// Runs the simulation until its end or the first violation.
    HistoryReport run();

private:
    struct Node {
        std::unique_ptr<ConfigurationKeeper> keeper; ///< Null while the node is down.
        unsigned generation = 0;
        ConfigurationVersion installed = 0;
        std::map<ConfigurationVersion, Duration> lag; ///< Lag behind each accepted version that the node lacks.
        std::map<std::uint64_t, std::function<void(const ApplyResult &)>> answers;
    };

    struct Write {
        Revision revision = 0;
        std::string value;
    };

    struct Edit {
        ApplyRequest request;
        unsigned tries = 0;
        unsigned maxTries = 0; ///< Some operators give up after one attempt.
        bool isOver = false;
    };

    void at(Duration delay, std::function<void()> task);
    void atNode(std::size_t node, Duration delay, std::function<void(ConfigurationActionList &)> task);
    Duration randomDuration(Duration min, Duration max);
    bool chance(double probability);
    std::size_t randomBelow(std::size_t count);
    std::optional<std::size_t> randomLiveNode();

    void planFaults();
    void startNode(std::size_t node);
    void stopNode(std::size_t node);
    void tick(std::size_t node);
    void perform(std::size_t node, const ConfigurationActionList &actions);
    void performOne(std::size_t node, const ConfigurationActions::CallKeyValue &action);
    void performOne(std::size_t node, const ConfigurationActions::Install &action);
    void performOne(std::size_t node, const ConfigurationActions::AnnounceToPeer &action);
    void performOne(std::size_t node, const ConfigurationActions::FetchFromPeer &action);
    void performOne(std::size_t node, const ConfigurationActions::AnswerApply &action);

    KeyReply execute(const KeyCall &call);
    KeyReply readKey();
    void beginEdit();
    void submit(const std::shared_ptr<Edit> &edit);
    void onApplyResult(const std::shared_ptr<Edit> &edit, const ApplyResult &result);
    void sampleLag();
    void checkEnd();
    void fail(const std::string &what);

    std::mt19937_64 m_random;
    ConfigurationGuards m_guards;
    Instant m_now{};
    std::multimap<Instant, std::function<void()>> m_events;
    std::vector<Node> m_nodes;
    std::vector<Write> m_writes;
    Revision m_revision = 100;
    bool m_outage = false;
    bool m_quiet = false; ///< Set once no more faults are injected.
    std::uint64_t m_lastRequest = 0;
    std::uint64_t m_lastEdit = 0;
    std::map<std::string, ConfigurationVersion> m_accepted; ///< Accepted versions by change id.
    std::vector<std::string> m_refused; ///< Ids of changes answered as not written.
    HistoryReport m_report;
};

} // namespace Gypsumtally::Testing
