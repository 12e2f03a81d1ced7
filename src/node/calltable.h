#pragma once

#include "claims/claimkeeper.h"
#include "limits/admission.h"
#include "membership/membership.h"
#include "node/call.h"
#include "node/nodeio.h"
#include "node/ownedengine.h"
#include "node/peerlinks.h"
#include "quarantine/quarantine.h"
#include "retries/retrypolicy.h"
#include "routing/router.h"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace Gypsumtally
{

/// Components of a node that CallTable uses.
struct CallContext {
    NodeIo &io;
    Membership &membership;
    HintTable &hints;
    Router &router;
    Admission &admission;
    ClaimKeeper &claims;
    std::unique_ptr<RetryPolicy> &retries; ///< Replaced when the configuration changes.
    Quarantine &quarantine;
    PeerLinks &peers;
    /// Returns the engine, or null if this node doesn't own it and has nothing pending there.
    std::function<OwnedEngine *(const UpstreamId &)> engine;
    /// Sets the configured defaults and limits that apply to a call.
    std::function<void(Call &)> applyConfiguration;
};

/// Result of a call, for logs, metrics and the service-level report.
struct CallEnd {
    const Call &call;
    std::optional<Failure> failure; ///< Empty if the answer was complete.
};

/// Processes each call from its arrival to its single final answer: claim, routing, attempts and retries. Not
/// thread-safe.
class CallTable
{
public:
    CallTable(CallContext context, std::function<void(const CallEnd &)> onEnd);

    /// Checks a new call and starts it, or answers it at once if a check fails.
    void arrive(CallArrived event);

    /// Ends a call whose caller has disconnected; a non-idempotent call continues unless it is still queued here.
    void callerGone(CallId id);

    /// Sends a queued call to its engine, which this node owns; returns false if it was not sent.
    bool dispatch(CallId id, const std::string &requestId);

    /// Handles the rejection of a queued call as a failed attempt.
    void rejected(CallId id, const Failure &failure);

    /// Fails the attempts in flight at @p upstream, an engine of this node that no longer answers.
    void upstreamLost(const UpstreamId &upstream);

    /// Fails the attempts that were forwarded to @p node, which no longer answers.
    void peerSilent(const NodeId &node);

    /// Handles the home node's answer to a placement request.
    void placeAnswered(const PlaceAnswer &answer);

    /// Performs and clears the actions of ClaimKeeper.
    void perform(ClaimActions &actions);

    /// Records that the VM of @p upstream has left or is being reclaimed: no request is suspected of causing what fails
    /// there from now on.
    void vmLost(const UpstreamId &upstream, const FailureDomainId &failureDomain);

    /// Ends the quarantine of requests with @p fingerprint for an operator; returns false if they are not quarantined.
    bool clearQuarantined(std::uint64_t fingerprint);

    /// Sets the names of the existing adapters. Any name is accepted until this function is called for the first time.
    void setCatalogue(const std::vector<std::string> &adapters);

    std::size_t catalogueSize() const;
    bool isInCatalogue(const std::string &adapter) const;

    /// Returns the name of an adapter, or @p digest in decimal if the catalogue has no such adapter.
    std::string adapterName(AdapterDigest digest) const;

    /// Returns the number of calls for an adapter that are queued at this node.
    std::size_t waitingFor(const AdapterVersion &model) const;

    /// Ends calls that have passed their deadline, starts attempts whose pause has ended and places calls whose home
    /// node has not answered in time. Call every few milliseconds.
    void tick();

    /// Returns the number of calls whose answer is not complete.
    std::size_t active() const;

    const std::unordered_map<CallId, std::unique_ptr<Call>> &calls() const;

private:
    Call *find(CallId id);
    std::optional<Failure> check(const Call &call) const;
    std::optional<Failure> checkTarget(const CallAttributes &attributes) const;
    void setStage(Call &call, CallStage stage);
    void begin(Call &call);
    void route(Call &call);
    void follow(Call &call, const Route &route, bool askedHome);
    void askHome(Call &call, const NodeId &home);
    void placeLocally(Call &call);
    void startAt(Call &call, const UpstreamId &upstream, const NodeId &owner);
    void startAtPeer(Call &call, const NodeRecord &node);
    void startAtService(Call &call);
    void startExchange(Call &call, ExchangeTarget target, const Http::Endpoint &endpoint, Http::Request request);
    void onHead(Call &call, unsigned status, const Http::Headers &headers);
    void onPiece(Call &call, std::string_view bytes);
    void onEnd(Call &call);
    void onTransportFailure(Call &call, const Http::TransportFailure &failure);
    void forwardEvent(Call &call, std::string event);
    void failExchanges(CallStage stage, const std::function<bool(const Call &)> &isAffected, const std::string &reason);
    void endOwnedRequest(Call &call, SendOutcome outcome);
    Failure readFailure(const Call &call) const;
    bool isAnswerComplete(const Call &call) const;
    bool isServiceRefusal(const Call &call) const;
    void attemptFailed(Call &call, Failure failure);
    bool shouldRetryPlacement(Call &call, const Failure &failure);
    void pauseUntil(Call &call, Instant until);
    void trackEnd(Call &call, bool isComplete);
    void reportCrash(const Call &call);
    void performQuarantine(std::vector<KeyCall> &calls);
    void cancelAttempt(Call &call);
    void succeed(Call &call);
    void giveUp(Call &call, Failure failure);
    void replay(Call &call, const StoredAnswer &answer);
    void finish(Call &call, std::optional<Failure> failure);
    void expire(Call &call);

    CallContext m_context;
    std::function<void(const CallEnd &)> m_onEnd;
    std::unordered_map<CallId, std::unique_ptr<Call>> m_calls;
    std::unordered_set<std::string> m_catalogue;
    std::unordered_map<AdapterDigest, std::string> m_names;
    bool m_hasCatalogue = false;
};

} // namespace Gypsumtally
