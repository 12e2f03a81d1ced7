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

/// An HTTP exchange that a decision started.
using ExchangeId = std::uint64_t;

/// Whom an exchange is with; each has a thread of its own.
enum class ExchangeTarget {
    Upstream,
    Peer,
};

/// Returns whether call @p id came from a peer; the listeners number their calls so that it can be told.
constexpr bool isFromPeer(CallId id)
{
    return (id & 1U) != 0;
}

// What happens to a node; events in the order in which one duty saw them.

struct CallArrived {
    CallId id = 0;
    ParsedCall call;
};

struct CallerGone {
    CallId id = 0;
};

/// A control call by JSON-RPC, already authenticated.
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

/// A question that the decisions' state answers.
struct QueryArrived {
    CallId id = 0;
    NodeQuery query = NodeQuery::Ready;
    RegionId region;
    std::uint64_t salt = 0; ///< Differs by caller.
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

using NodeEvent = std::variant<CallArrived, CallerGone, ControlArrived, QueryArrived, ExchangeHead, ExchangePiece,
                               ExchangeEnded, ExchangeFailed, KeyReplied, StoreListed, StoreChanged, StoreConnection,
                               LeaseTaken, VmsListed, CatalogueListed, StopRequested>;

// What a node asks its duties to do.

struct ReplyWhole {
    CallId id = 0;
    Http::Response response;
};

struct ReplyBegin {
    CallId id = 0;
    unsigned status = 0;
    Http::Headers headers;
};

struct ReplyPiece {
    CallId id = 0;
    std::string bytes;
};

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

/// One line of the log: what happened, and to what.
struct Note {
    Severity severity = Severity::Info;
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields;
};

/// Take no new connections, and close each open one when its answer has ended.
struct DrainListeners {
};

/// Everything in hand is finished: give the lease back and end the process.
struct Stopped {
};

using NodeAction = std::variant<ReplyWhole, ReplyBegin, ReplyPiece, ReplyEnd, StartExchange, CancelExchange, CallStore,
                                Note, DrainListeners, Stopped>;
using NodeActions = std::vector<NodeAction>;

} // namespace Gypsumtally
