#pragma once

#include "common/call.h"
#include "common/keyvalue.h"
#include "entry/callparser.h"
#include "http/client.h"
#include "keyvalue/storewatcher.h"
#include "keyvalue/vmlist.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Gypsumtally
{

/// Identifies an HTTP exchange that the node's core started.
using ExchangeId = std::uint64_t;

/// Kind of server at the other end of an exchange; each kind has its own I/O thread.
enum class ExchangeTarget {
    Upstream,
    Peer,
};

/// Returns true if call @p id came from a peer: the listener for peers assigns odd ids, the one for callers even ids.
constexpr bool isFromPeer(CallId id)
{
    return (id & 1U) != 0;
}

// Events: input of the node's core. Those of one I/O thread arrive in the order in which the thread observed them.

struct CallArrived {
    CallId id = 0;
    ParsedCall call;
};

struct CallerGone {
    CallId id = 0;
};

/// An authenticated JSON-RPC control call.
struct ControlArrived {
    CallId id = 0;
    bool isOperator = false;
    std::string body;
};

enum class NodeQuery {
    Entries,
    Ready,
    Metrics,
};

/// A request that is answered from the state of the node's core.
struct QueryArrived {
    CallId id = 0;
    NodeQuery query = NodeQuery::Ready;
    RegionId region;
    std::uint64_t salt = 0; ///< Differs between requests; varies the order of entries so that callers spread over them.
};

/// A number and what it counts, by the names that logs and metrics use.
struct NamedCount {
    std::string field; ///< Of log lines.
    std::string label; ///< Of metrics.
    std::uint64_t count = 0;
};

/// What a listener has left unanswered since its last report.
struct ListenerLosses {
    bool isPeers = false; ///< The listener for peers and operators; otherwise the one for callers.
    std::vector<NamedCount> losses; ///< Requests and connections that were refused or closed, by kind.
    std::vector<NamedCount> unanswered; ///< Requests that ended without a whole answer, by cause.
    std::size_t connections = 0; ///< That are open.
    std::size_t heldBytes = 0; ///< By all of them.
};

struct ExchangeHead {
    ExchangeId id = 0;
    unsigned status = 0;
    Http::Headers headers;
};

struct ExchangePiece {
    ExchangeId id = 0;
    std::string bytes;
};

struct ExchangeEnded {
    ExchangeId id = 0;
};

struct ExchangeFailed {
    ExchangeId id = 0;
    Http::TransportFailure failure;
};

struct KeyReplied {
    std::uint64_t tag = 0;
    KeyReply reply;
};

struct StoreListed {
    StoreSnapshot snapshot;
};

struct StoreChanged {
    std::vector<StoreChange> changes;
    Revision revision = 0;
};

struct StoreConnection {
    bool connected = false;
};

struct LeaseTaken {
    LeaseId lease = 0;
};

struct VmsListed {
    std::vector<Vm> vms;
};

struct CatalogueListed {
    std::vector<std::string> adapters;
};

struct StopRequested {
};

using NodeEvent = std::variant<CallArrived, CallerGone, ControlArrived, QueryArrived, ListenerLosses, ExchangeHead,
                               ExchangePiece, ExchangeEnded, ExchangeFailed, KeyReplied, StoreListed, StoreChanged,
                               StoreConnection, LeaseTaken, VmsListed, CatalogueListed, StopRequested>;

// Actions: output of the node's core, performed by the I/O threads.

/// Sends a complete response.
struct ReplyWhole {
    CallId id = 0;
    Http::Response response;
};

/// Sends the head of a streamed response.
struct ReplyBegin {
    CallId id = 0;
    unsigned status = 0;
    Http::Headers headers;
};

/// Sends the next part of a streamed response's body.
struct ReplyPiece {
    CallId id = 0;
    std::string bytes;
};

/// Ends a streamed response, or a call whose caller has disconnected.
struct ReplyEnd {
    CallId id = 0;
};

struct StartExchange {
    ExchangeId id = 0;
    ExchangeTarget target = ExchangeTarget::Upstream;
    Http::Endpoint endpoint;
    Http::Request request;
    Http::RequestOptions options;
};

struct CancelExchange {
    ExchangeId id = 0;
    ExchangeTarget target = ExchangeTarget::Upstream;
};

struct CallStore {
    KeyCall call;
};

enum class Severity {
    Debug,
    Info,
    Warning,
    Error,
};

/// A log entry: the name of an event and its fields.
struct LogEntry {
    Severity severity = Severity::Info;
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields;
};

/// Stops accepting callers' connections; an open one is closed when its answer has ended.
struct DrainListeners {
};

/// The node has finished its calls and handovers: revokes the lease and ends the process.
struct Stopped {
};

using NodeAction = std::variant<ReplyWhole, ReplyBegin, ReplyPiece, ReplyEnd, StartExchange, CancelExchange, CallStore,
                                LogEntry, DrainListeners, Stopped>;
using NodeActions = std::vector<NodeAction>;

} // namespace Gypsumtally
