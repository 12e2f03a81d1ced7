#pragma once

#include "ownership/fakes.h"
#include "ownership/upstreamowner.h"
#include "support/fakekeyvalue.h"

#include <deque>
#include <memory>

namespace Gypsumtally::Testing
{

/// Parameters of one history.
struct WorldSettings {
    std::uint64_t seed = 0;
    std::size_t nodes = 3;
    std::size_t slots = 3;
    std::size_t adapters = 5;
    bool checksToken = false; ///< The engine refuses orders with a lower fencing token than one it has seen.
    Detail::Safeguards guards;
};

/// Simulation of entry nodes that compete for one engine under faults chosen by a seed. The faults end after a fixed
/// time, after which the history must show progress.
class World
{
public:
    explicit World(const WorldSettings &settings);

    /// Runs the history and returns a description of the first violation, or an empty string.
    std::string run();

    const History &history() const;

private:
    struct Node {
        NodeId id;
        Incarnation incarnation;
        std::unique_ptr<UpstreamOwner> owner;
        bool isUp = false;
        bool isGone = false; ///< The VM is no longer on the VM list.
        bool isWanted = false;
        std::optional<AdapterVersion> target; ///< Adapter to load next.
        std::optional<AdapterVersion> draining; ///< Adapter that gets no requests and is to be given up.
        Instant pausedUntil{};
        unsigned starts = 0;
    };

    /// An order or request in flight to the engine.
    struct Transmission {
        std::function<void(std::function<void(SendOutcome)>)> arrive; ///< Runs at the engine; its argument replies.
        std::function<void(SendOutcome)> ended; ///< Runs at the sender.
        std::function<void()> lost; ///< Runs if it will never arrive.
        std::string engine; ///< Incarnation of the engine at the other end of the connection.
        bool answerBegan = false; ///< The sender has received the start of the answer.
        bool isOver = false; ///< The sender has the outcome or has closed the connection.
    };

    void start(Node &node);
    void crash(Node &node);
    void onNode(Node &node, Duration delay, std::function<void()> event, std::function<void()> dropped = {});
    void runOnNode(Node *node, std::string incarnation, std::function<void()> event, std::function<void()> dropped);
    void tick(Node &node);
    void poll(Node &node);
    void schedule(Node &node, OwnershipActions &actions);
    void stepTowardsTarget(Node &node, OwnershipActions &actions);
    void dispatch(Node &node, const AdapterVersion &adapter);
    void perform(Node &node, OwnershipActions &&actions);
    void sendKeyCall(Node &node, const KeyCall &call);
    KeyReply applyKeyCall(const KeyCall &call);
    void sendOrder(Node &node, const SendOrder &order);
    void askRelease(Node &node, const AskRelease &ask);
    void transmit(Node &node, const std::shared_ptr<Transmission> &transmission);
    void connect(Node &node, const std::shared_ptr<Transmission> &transmission);
    void finishSending(Node &node, const std::shared_ptr<Transmission> &transmission);
    void arrive(Node &node, const std::shared_ptr<Transmission> &transmission,
                const std::function<void(SendOutcome)> &reply);
    void endAtSender(Node &node, const std::shared_ptr<Transmission> &transmission, SendOutcome outcome);
    void injectFault();
    void setIntendedOwner(Node &node);
    void heal();
    Node &randomNode();
    bool isFaulty(unsigned percent);
    Duration networkDelay();

    /// Runs an event on the node's owner and performs the resulting actions.
    template<typename Event>
    void deliver(Node &node, Event event)
    {
        OwnershipActions actions;
        event(actions);
        perform(node, std::move(actions));
    }

    WorldSettings m_settings;
    Simulation m_simulation;
    History m_history;
    FakeKeyValue m_keyValue;
    bool m_keyValueUp = true;
    EngineFake m_engine;
    bool m_engineUp = true;
    bool m_isHealed = false;
    std::size_t m_nextTarget = 0;
    std::vector<AdapterVersion> m_adapters;
    std::deque<Node> m_nodes;
};

} // namespace Gypsumtally::Testing
