#pragma once

#include "common/call.h"
#include "common/describedjson.h"
#include "common/identifiers.h"
#include "common/modelname.h"
#include "residency/loadbroker.h"
#include "routing/hinttable.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Gypsumtally
{

// Messages that nodes exchange besides forwarded requests. Any message may be lost, delayed or duplicated; a sender
// that needs an answer repeats the message.

/// Reports the state of an upstream that the sender owns.
struct HintMessage {
    UpstreamHint hint;
};
BOOST_DESCRIBE_STRUCT(UpstreamHint, (),
                      (upstream, owner, epoch, sequence, region, base, service, slots, freeSlots, concurrency, running,
                       waiting, waitingLoads, loaded, loading, leaving))
BOOST_DESCRIBE_STRUCT(HintMessage, (), (hint))

/// Asks the process @p asked to stop using an upstream, so that the owner at @p newEpoch can use it.
struct ReleaseAsk {
    UpstreamId upstream;
    Incarnation asked;
    Epoch newEpoch = 0;
};
BOOST_DESCRIBE_STRUCT(ReleaseAsk, (), (upstream, asked, newEpoch))

/// Answers a ReleaseAsk.
struct ReleaseAnswer {
    UpstreamId upstream;
    Incarnation asked;
    Epoch newEpoch = 0;
    bool isFinished = false;
    bool isEnded = false; ///< The asked process has ended; its node runs another one.
};
BOOST_DESCRIBE_STRUCT(ReleaseAnswer, (), (upstream, asked, newEpoch, isFinished, isEnded))

/// Asks the load broker for a load grant, or updates the priority of an earlier request. Times are sent as ages, as the
/// clocks of nodes differ.
struct LoadAsk {
    UpstreamId upstream;
    AdapterVersion adapter;
    ServiceClass serviceClass = ServiceClass::Bulk; ///< The most urgent class among the waiters.
    std::uint32_t waiters = 0;
    Duration age{}; ///< Waiting time of the oldest waiter.
    bool foreseen = false; ///< True for a prefetch, which no request waits for yet.
};
BOOST_DESCRIBE_STRUCT(LoadAsk, (), (upstream, adapter, serviceClass, waiters, age, foreseen))

enum class LoadEnd {
    Withdrawn,
    Finished,
    Refused, ///< The weight store refused the load.
};

template<>
inline constexpr EnumTable<LoadEnd, 3> enumNames<LoadEnd>{{
    {LoadEnd::Withdrawn, "withdrawn"},
    {LoadEnd::Finished, "finished"},
    {LoadEnd::Refused, "refused"},
}};

/// Notifies the load broker that a load grant is no longer used or a request is withdrawn.
struct LoadDone {
    UpstreamId upstream;
    AdapterVersion adapter;
    LoadEnd end = LoadEnd::Finished;
    Duration retryAfter{};
};
BOOST_DESCRIBE_STRUCT(LoadDone, (), (upstream, adapter, end, retryAfter))

/// Grants a load. Sent by the load broker.
struct LoadGrant {
    UpstreamId upstream;
    AdapterVersion adapter;
};
BOOST_DESCRIBE_STRUCT(LoadGrant, (), (upstream, adapter))

/// Asks an adapter's home node which upstream to send a call to.
struct PlaceAsk {
    CallId call = 0;
    AdapterVersion model;
    ServiceClass serviceClass = ServiceClass::Standard;
    RegionId callerRegion;
    std::vector<UpstreamId> excluded;
};
BOOST_DESCRIBE_STRUCT(PlaceAsk, (), (call, model, serviceClass, callerRegion, excluded))

/// Answers a PlaceAsk.
struct PlaceAnswer {
    CallId call = 0;
    UpstreamId upstream; ///< Empty if no upstream can take the call.
    NodeId owner;
};
BOOST_DESCRIBE_STRUCT(PlaceAnswer, (), (call, upstream, owner))

using PeerMessage
    = std::variant<HintMessage, ReleaseAsk, ReleaseAnswer, LoadAsk, LoadDone, LoadGrant, PlaceAsk, PlaceAnswer>;

/// State of the sending node, reported in each batch.
struct PeerState {
    std::uint64_t configurationVersion = 0; ///< Version in force on the sender.
    std::uint64_t calls = 0; ///< In-flight calls, whose responses have not ended.
};
BOOST_DESCRIBE_STRUCT(PeerState, (), (configurationVersion, calls))

/// The control method that receives a batch.
inline constexpr char deliverMethod[] = "peer.deliver";

/// Messages that one node sends another in one control call. A batch is also a heartbeat.
struct PeerBatch {
    NodeId from;
    Incarnation incarnation;
    PeerState state;
    std::vector<PeerMessage> messages;
};

/// Encodes a batch as the JSON parameters of deliverMethod. Thread-safe.
std::string encodeBatch(const PeerBatch &batch);

/// Decodes the result of encodeBatch(). Messages that are malformed or of unknown kinds are skipped. Returns nothing if
/// @p value is not a batch. Thread-safe.
std::optional<PeerBatch> decodeBatch(const boost::json::value &value);

} // namespace Gypsumtally
