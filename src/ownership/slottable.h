#pragma once

#include "ownership/detail/guards.h"
#include "ownership/enginereport.h"
#include "ownership/ownershipaction.h"

#include <map>
#include <optional>
#include <vector>

namespace Gypsumtally
{

/// One process's view of an upstream's adapter slots, and its own requests and orders there that may still take effect.
/// Kept across changes of owner. Not thread-safe.
class SlotTable
{
public:
    /// @p self is the process that sends the requests. @p lateBytesBound bounds the time for which bytes of a closed
    /// connection may still take effect.
    SlotTable(Incarnation self, Duration lateBytesBound, Detail::Safeguards guards = {});

    /// Processes an engine's report. Ignores one that is older than the last.
    void engineReported(EngineReport report);

    /// Records a request that is about to be sent. A request to a plain service has no @p adapter.
    RequestNumber beginRequest(std::optional<AdapterVersion> adapter);

    /// Records the outcome of a request. Ignores unknown numbers.
    void endRequest(RequestNumber number, SendOutcome outcome, Instant now);

    /// Records an order that is about to be sent.
    OrderId beginOrder(OrderKind kind, const AdapterVersion &adapter);

    /// Records the outcome of an order; Cut counts as Unknown. Ignores unknown ids.
    void endOrder(OrderId id, SendOutcome outcome, Instant now);

    /// Returns true if a report was received.
    bool hasReport() const;

    /// Returns true if @p adapter is loaded according to the last report and the orders done since.
    bool isLoaded(const AdapterVersion &adapter) const;

    /// Returns the loaded adapters, sorted.
    std::vector<AdapterVersion> loaded() const;

    /// Returns the number of slots without a loaded adapter or a load in flight; 0 until a report was received.
    std::size_t freeSlots() const;

    /// Returns true if a request of this process on @p adapter may be in flight.
    bool hasRequest(const AdapterVersion &adapter) const;

    /// Returns true if an order of @p kind on @p adapter may still take effect.
    bool hasOrder(OrderKind kind, const AdapterVersion &adapter) const;

    /// Returns true if an order on @p adapter has no outcome yet.
    bool isOrderOpen(const AdapterVersion &adapter) const;

    /// Returns true if no request and no order of this process may still take effect.
    bool isFinished() const;

    /// Returns true if nothing sent by the process @p incarnation, which had ended by @p goneAt, can still take effect.
    bool isFinished(const Incarnation &incarnation, Instant goneAt) const;

private:
    /// The state of an adapter at the engine.
    struct Residency {
        bool isLoaded = false;
        Instant since{}; ///< Time of the report or order that set the state.
    };

    /// An order of this process that may still take effect.
    struct Order {
        OrderKind kind = OrderKind::Load;
        AdapterVersion adapter;
        std::optional<Instant> endedAt; ///< Set if the outcome is unknown.
    };

    /// A request of this process that may still take effect.
    struct SentRequest {
        std::optional<AdapterVersion> adapter;
        std::optional<Instant> endedAt; ///< Set if the outcome is unknown.
        bool answerBegan = false; ///< The answer had begun.
    };

    bool isSettled(Instant endedAt) const;
    bool isRunning(RequestNumber number) const;
    bool isRequestSettled(RequestNumber number, const SentRequest &request) const;
    bool isOrderSettled(const Order &order) const;
    void updateResidency(bool isSameEngine);

    Incarnation m_self;
    Duration m_lateBytesBound;
    Detail::Safeguards m_guards;
    std::optional<EngineReport> m_report;
    std::optional<Instant> m_previousEngineSeen; ///< Time of the last report of the engine's previous process.
    std::map<AdapterVersion, Residency> m_residency;
    std::map<OrderId, Order> m_orders;
    std::map<RequestNumber, SentRequest> m_requests;
    OrderId m_nextOrder = 1;
    RequestNumber m_nextRequest = 1;
};

} // namespace Gypsumtally
