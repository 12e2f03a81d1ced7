#pragma once

#include "common/enumtable.h"
#include "common/identifiers.h"
#include "common/keyvalue.h"
#include "common/modelname.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Gypsumtally
{

/// Identifies an order to an engine; unique within one owner.
using OrderId = std::uint64_t;

/// The kind of an order to an engine.
enum class OrderKind {
    Load,
    Unload,
};

template<>
inline constexpr EnumTable<OrderKind, 2> enumNames<OrderKind>{{
    {OrderKind::Load, "load"},
    {OrderKind::Unload, "unload"},
}};

/// Outcome of an order or a request to an upstream, as observed by its sender.
enum class SendOutcome {
    Done, ///< The complete answer was received.
    Refused, ///< The upstream refused it without starting it.
    NotSent, ///< No byte of it was sent.
    Cut, ///< The connection closed after the answer had begun: it may be running, but can't arrive late.
    Unknown, ///< The connection closed without a known outcome: it may still arrive, be running or have run.
};

template<>
inline constexpr EnumTable<SendOutcome, 5> enumNames<SendOutcome>{{
    {SendOutcome::Done, "done"},
    {SendOutcome::Refused, "refused"},
    {SendOutcome::NotSent, "not-sent"},
    {SendOutcome::Cut, "cut"},
    {SendOutcome::Unknown, "unknown"},
}};

/// Requests that an order be sent to the engine with @p epoch as its fencing token. Completed by orderEnded().
struct SendOrder {
    OrderId id = 0;
    OrderKind kind = OrderKind::Load;
    AdapterVersion adapter;
    Epoch epoch = 0;
};

/// Requests a release call to the process @p incarnation of @p node; see UpstreamOwner::releaseAsked(). Completed by
/// releaseAnswered() or predecessorEnded().
struct AskRelease {
    NodeId node;
    Incarnation incarnation;
    Epoch newEpoch = 0;
};

/// Reports that this process became the owner at @p epoch.
struct OwnershipGained {
    Epoch epoch = 0;
};

/// Reports that this process is no longer the owner; @p epoch is the last observed one.
struct OwnershipLost {
    Epoch epoch = 0;
};

/// Reports that the stored record can't be parsed; it is left unchanged.
struct RecordUnreadable {
    std::string reason;
};

using OwnershipAction = std::variant<KeyCall, SendOrder, AskRelease, OwnershipGained, OwnershipLost, RecordUnreadable>;
using OwnershipActions = std::vector<OwnershipAction>;

} // namespace Gypsumtally
