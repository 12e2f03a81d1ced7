// The part of World that simulates the network and the key-value service.
#include "ownership/world.h"

#include <algorithm>

namespace Gypsumtally::Testing
{

using namespace std::chrono_literals;

namespace
{

constexpr Duration maxDelay = 1500ms; ///< Maximum delay of slow bytes; plus a load's time less than lateBytesBound.
constexpr Duration sendTimeout = 800ms;
constexpr Duration vmListLag = 200ms;

} // namespace

void World::perform(Node &node, OwnershipActions &&actions)
{
    for (const auto &action : actions) {
        if (const auto *call = std::get_if<KeyCall>(&action))
            sendKeyCall(node, *call);
        else if (const auto *order = std::get_if<SendOrder>(&action))
            sendOrder(node, *order);
        else if (const auto *ask = std::get_if<AskRelease>(&action))
            askRelease(node, *ask);
    }
}

void World::sendKeyCall(Node &node, const KeyCall &call)
{
    auto isOver = std::make_shared<bool>(false);
    const auto reply = [this, &node, call, isOver](const KeyReply &answer) {
        if (std::exchange(*isOver, true))
            return;
        deliver(node, [&](OwnershipActions &actions) {
            node.owner->keyReply(call.tag, answer, m_simulation.now(), actions);
        });
    };
    onNode(node, networkDelay(), [this, &node, call, reply] {
        if (!m_keyValueUp && m_simulation.chance(50))
            return reply({KeyOutcome::Unavailable, 0, {}});
        onNode(node, sendTimeout, [reply] { reply({KeyOutcome::Unknown, 0, {}}); });
        if (!m_keyValueUp)
            return;
        const Duration delay = isFaulty(5) ? m_simulation.between(networkDelay(), maxDelay) : networkDelay();
        m_simulation.after(delay, [this, &node, call, reply, incarnation = node.incarnation] {
            const KeyReply answer = applyKeyCall(call);
            if (!isFaulty(8) && node.incarnation == incarnation)
                onNode(node, networkDelay(), [reply, answer] { reply(answer); });
        });
    });
}

KeyReply World::applyKeyCall(const KeyCall &call)
{
    KeyReply answer = m_keyValue.apply(call);
    const auto *transaction = std::get_if<KeyTransaction>(&call.operation);
    if (transaction && answer.outcome == KeyOutcome::Applied) {
        const EngineRecord record = parseEngineRecord(transaction->puts.front().value).value();
        m_history.push_back({HistoryKind::Written, m_simulation.now(), {}, {}, record, {}});
    }
    return answer;
}

void World::sendOrder(Node &node, const SendOrder &order)
{
    auto sent = std::make_shared<Transmission>();
    sent->arrive = [this, order, sender = node.incarnation.value](auto done) { m_engine.order(order, sender, done); };
    sent->lost = [] {};
    sent->ended = [this, &node, order](SendOutcome outcome) {
        deliver(node, [&](OwnershipActions &actions) {
            node.owner->orderEnded(order.id, outcome, m_simulation.now(), actions);
        });
    };
    transmit(node, sent);
}

void World::askRelease(Node &node, const AskRelease &ask)
{
    if (isFaulty(20))
        return;
    Node &asked = *std::ranges::find(m_nodes, ask.node, &Node::id);
    const auto answerGone = [this, &node, ask] {
        onNode(node, networkDelay(), [this, &node, ask] {
            deliver(node, [&](OwnershipActions &actions) {
                node.owner->predecessorEnded(ask.incarnation, m_simulation.now(), actions);
            });
        });
    };
    if (asked.isGone) {
        onNode(node, vmListLag, answerGone);
        return;
    }
    if (!asked.isUp)
        return;
    if (asked.incarnation != ask.incarnation)
        return answerGone();
    onNode(asked, networkDelay(), [this, &node, &asked, ask, asker = node.incarnation] {
        bool isFinished = false;
        deliver(asked, [&](OwnershipActions &actions) {
            isFinished = asked.owner->releaseAsked(ask.newEpoch, m_simulation.now(), actions);
        });
        if (node.incarnation != asker)
            return;
        const Duration delay = isFaulty(10) ? m_simulation.between(networkDelay(), 4s) : networkDelay();
        onNode(node, delay, [this, &node, ask, isFinished] {
            deliver(node, [&](OwnershipActions &actions) {
                node.owner->releaseAnswered(ask.incarnation, ask.newEpoch, isFinished, m_simulation.now(), actions);
            });
        });
    });
}

void World::transmit(Node &node, const std::shared_ptr<Transmission> &transmission)
{
    const auto lost = transmission->lost;
    onNode(
        node, m_simulation.between(0ms, 20ms), [this, &node, transmission] { connect(node, transmission); }, lost);
}

void World::connect(Node &node, const std::shared_ptr<Transmission> &transmission)
{
    if (!m_engineUp) {
        transmission->lost();
        return endAtSender(node, transmission, SendOutcome::NotSent);
    }
    transmission->engine = m_engine.incarnation();
    // A pause or crash of the node in this interval leaves the order partly sent.
    onNode(
        node, m_simulation.between(0ms, isFaulty(30) ? 60ms : 1ms),
        [this, &node, transmission] { finishSending(node, transmission); }, transmission->lost);
}

void World::finishSending(Node &node, const std::shared_ptr<Transmission> &transmission)
{
    onNode(node, sendTimeout, [this, &node, transmission] {
        endAtSender(node, transmission, transmission->answerBegan ? SendOutcome::Cut : SendOutcome::Unknown);
    });
    const Duration delay = isFaulty(12) ? m_simulation.between(networkDelay(), maxDelay) : networkDelay();
    m_simulation.after(delay, [this, &node, transmission, incarnation = node.incarnation] {
        const auto reply = [this, &node, transmission, incarnation](SendOutcome outcome) {
            if (!isFaulty(8) && node.incarnation == incarnation)
                onNode(node, networkDelay(),
                       [this, &node, transmission, outcome] { endAtSender(node, transmission, outcome); });
        };
        if (m_engineUp && transmission->engine == m_engine.incarnation())
            return arrive(node, transmission, reply);
        transmission->lost();
        reply(SendOutcome::Unknown);
    });
}

/// Delivers a request or order to the engine. Unless it is lost, the start of the answer reaches the sender first.
void World::arrive(Node &node, const std::shared_ptr<Transmission> &transmission,
                   const std::function<void(SendOutcome)> &reply)
{
    if (!isFaulty(30) && node.isUp)
        onNode(node, networkDelay(), [transmission] { transmission->answerBegan = true; });
    transmission->arrive(reply);
}

void World::endAtSender(Node &, const std::shared_ptr<Transmission> &transmission, SendOutcome outcome)
{
    if (!std::exchange(transmission->isOver, true))
        transmission->ended(outcome);
}

bool World::isFaulty(unsigned percent)
{
    return !m_isHealed && m_simulation.chance(percent);
}

Duration World::networkDelay()
{
    return m_simulation.between(500us, 5ms);
}

} // namespace Gypsumtally::Testing
