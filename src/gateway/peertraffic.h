#pragma once

#include "common/enumtable.h"
#include "gateway/gatewaymessage.h"

#include <array>
#include <cstdint>

namespace Gypsumtally::Gateway
{

/// What a message between nodes mainly carries.
enum class PeerMessageKind {
    OwnReports, ///< Reports of its sender.
    ForwardedReports, ///< Reports that its sender passes on as a relay.
    Registry, ///< Changes that its sender has read from the store.
    Other, ///< Requests and answers about loads, and streams to be recorded.
};

} // namespace Gypsumtally::Gateway

namespace Gypsumtally
{

template<>
inline constexpr EnumTable<Gateway::PeerMessageKind, 4> enumNames<Gateway::PeerMessageKind>{{
    {Gateway::PeerMessageKind::OwnReports, "own_reports"},
    {Gateway::PeerMessageKind::ForwardedReports, "forwarded_reports"},
    {Gateway::PeerMessageKind::Registry, "registry"},
    {Gateway::PeerMessageKind::Other, "other"},
}};

} // namespace Gypsumtally

namespace Gypsumtally::Gateway
{

/// Bytes of messages between nodes, by kind.
using PeerBytes = std::array<std::uint64_t, enumNames<PeerMessageKind>.size()>;

/// The bytes that a node has exchanged with its peers. Counts payloads, without headers of the network.
struct PeerTraffic {
    PeerBytes sent{};
    PeerBytes received{};
};

/// Returns the kind of @p message. Thread-safe.
PeerMessageKind kindOf(const GatewayMessage &message);

/// Returns the bytes of all kinds. Thread-safe.
std::uint64_t sumOf(const PeerBytes &bytes);

/// Returns what has been counted since @p before. Thread-safe.
PeerBytes since(const PeerBytes &before, const PeerBytes &now);

} // namespace Gypsumtally::Gateway
