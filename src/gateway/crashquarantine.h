#pragma once

#include "gateway/callcontext.h"
#include "gateway/gatewaylog.h"
#include "gateway/registryfollower.h"
#include "report/metrics.h"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Gypsumtally::Gateway
{

/// Returns the representation of @p verdict in the store; the key holds its cause. Thread-safe.
std::string encode(const CrashVerdict &verdict);

/// Decodes the verdict on @p cause from the store; returns nothing if @p text is not a valid one. Thread-safe.
std::optional<CrashVerdict> decodeCrashVerdict(const CrashCause &cause, std::string_view text);

/// Shares the evidence of the crash ledger with the other nodes and keeps its verdicts in the store, so that they
/// outlive all processes. Loop's thread only.
template<GatewayStore Store>
class CrashQuarantine
{
public:
    /// Verdicts are stored under @p keyPrefix. @p broadcast sends a report to all other nodes. Connects the callbacks
    /// of @p context, which awaits the stored verdicts from then on.
    CrashQuarantine(Store &store, CallContext &context, GatewayLog &log, Metrics &metrics, std::string keyPrefix,
                    std::function<NodeReport()> newReport, std::function<void(NodeReport)> broadcast)
        : m_store(store)
        , m_context(context)
        , m_log(log)
        , m_metrics(metrics)
        , m_keyPrefix(std::move(keyPrefix))
        , m_newReport(std::move(newReport))
        , m_broadcast(std::move(broadcast))
    {
        m_context.awaitsVerdicts = true;
        m_context.onCrash = [this](const CrashReport &crash) { onCrash(crash, BootClock{}.now()); };
        m_context.onSuccess = [this](const SuccessEffects &effects) { onSuccess(effects); };
    }

    /// Records and broadcasts what this node has seen of a crash.
    void onCrash(const CrashReport &report, Instant now)
    {
        logCrash(report);
        m_context.crashes.addOwn(report, now);
        auto notice = m_newReport();
        notice.crashes.push_back(report);
        m_broadcast(std::move(notice));
    }

    /// Broadcasts what follows from a success at this node, and ends the stored verdicts that it lifts.
    void onSuccess(const SuccessEffects &effects)
    {
        auto notice = m_newReport();
        notice.acquittals = effects.acquittals;
        notice.lifted = effects.lifted;
        m_broadcast(std::move(notice));
        for (const auto &cause : effects.lifted) {
            m_lifted[cause] = BootClock{}.now();
            removeVerdict(cause);
        }
    }

    /// Applies what another node reports.
    void onReport(const NodeReport &report, Instant now)
    {
        for (const auto &crash : report.crashes)
            m_context.crashes.add(crash, now);
        for (const auto &acquittal : report.acquittals) {
            if (m_context.crashes.onAcquittal(acquittal, now))
                onSuccess({{}, {acquittal.cause}});
        }
        for (const auto &cause : report.lifted) {
            m_unsaved.erase(cause);
            if (m_context.crashes.lift(cause, now))
                logLifted(cause, report.from.node);
        }
        for (const auto &cause : report.proposals)
            m_context.crashes.onProposal(cause, now);
        for (const auto &verdict : report.verdicts) {
            if (!m_context.crashes.onPeerVerdict(verdict, now))
                continue;
            logVerdict(verdict, report.from.node);
            m_unsaved[verdict.cause] = {now + peerWriteDelay + delayOf(m_rank), false};
        }
    }

    /// Adds what other nodes may not have received yet to a digest.
    void addTo(NodeReport &digest, Instant now)
    {
        digest.crashes = m_context.crashes.recent(now, noticeAge);
        for (const auto &[cause, write] : m_unsaved) {
            const auto it = m_context.crashes.verdicts().find(cause);
            if (it != m_context.crashes.verdicts().end() && it->second.node == m_context.node)
                digest.verdicts.push_back(it->second);
        }
        std::erase_if(m_lifted, [now](const auto &item) { return now - item.second > noticeAge; });
        for (const auto &[cause, at] : m_lifted)
            digest.lifted.push_back(cause);
    }

    /// Decides verdicts, broadcasts them and writes them to the store. Call several times per second. @p rank is this
    /// node's rank among the live nodes: those that rank higher write later, as one write is enough.
    void tick(Instant now, std::int64_t wallMs, std::size_t rank)
    {
        if (const auto acquittals = m_context.crashes.takeContested(now); !acquittals.empty())
            onSuccess({acquittals, {}});
        m_rank = rank;
        const auto [proposals, verdicts] = m_context.crashes.decide(now, wallMs);
        if (!proposals.empty() || !verdicts.empty()) {
            auto notice = m_newReport();
            notice.proposals = proposals;
            notice.verdicts = verdicts;
            m_broadcast(std::move(notice));
        }
        for (const auto &verdict : verdicts) {
            logVerdict(verdict, m_context.node);
            m_unsaved[verdict.cause] = {now + minWriteDelay + delayOf(rank), false};
        }
        for (auto &[cause, write] : m_unsaved) {
            if (!write.isSent && now >= write.due)
                save(cause, write);
        }
    }

    /// Takes over the verdicts in a snapshot of the store, by key, and lifts those that have been removed from it.
    void onSnapshot(const std::map<std::string, KeyValue> &values, Instant now)
    {
        std::set<CrashCause> stored;
        for (auto it = values.lower_bound(m_keyPrefix); it != values.end() && it->first.starts_with(m_keyPrefix);
             ++it) {
            if (const auto cause = parseCrashCause(it->first.substr(m_keyPrefix.size())); cause) {
                stored.insert(*cause);
                onStored(*cause, it->second.value, now);
            }
        }
        const auto known = m_saved;
        for (const auto &cause : known) {
            if (!stored.contains(cause))
                onRemoved(cause);
        }
        m_context.awaitsVerdicts = false;
    }

    /// Applies @p change and returns true if it is of a verdict; otherwise returns false.
    bool onChange(const KeyChange &change, Instant now)
    {
        if (!change.key.starts_with(m_keyPrefix))
            return false;
        const auto cause = parseCrashCause(change.key.substr(m_keyPrefix.size()));
        if (cause && change.value)
            onStored(*cause, *change.value, now);
        else if (cause)
            onRemoved(*cause);
        return true;
    }

private:
    /// Time during which digests repeat this node's own notices, as others may not have received them.
    static constexpr Duration noticeAge = std::chrono::seconds{2};
    static constexpr Duration minWriteDelay = std::chrono::milliseconds{300}; ///< Time for objections to a verdict.
    /// Time after which a node writes the verdict of another one, which may have ended.
    static constexpr Duration peerWriteDelay = std::chrono::seconds{3};
    static constexpr Duration writeDelayPerRank = std::chrono::milliseconds{100};
    static constexpr std::size_t maxDelayedRank = 20; ///< Bounds the delay of a write.
    static constexpr Duration writeRetryDelay = std::chrono::milliseconds{500};
    static constexpr std::size_t loggedParts = 8; ///< Most frequent prompt parts of a crash in the log.

    /// A verdict of this node that the store may not have yet.
    struct Write {
        Instant due{};
        bool isSent = false; ///< Its outcome is awaited.
    };

    static Duration delayOf(std::size_t rank)
    {
        return writeDelayPerRank * static_cast<int>(std::min(rank, maxDelayedRank));
    }

    std::string keyOf(const CrashCause &cause) const
    {
        return m_keyPrefix + toText(cause);
    }

    void save(const CrashCause &cause, Write &write)
    {
        const auto verdict = m_context.crashes.verdicts().find(cause);
        if (verdict == m_context.crashes.verdicts().end()) {
            write.isSent = true; // Lifted meanwhile; nothing is to be saved.
            return;
        }
        write.isSent = true;
        KeyTransaction transaction;
        transaction.compares.push_back({keyOf(cause), 0});
        transaction.puts.push_back({keyOf(cause), encode(verdict->second), KeyLifetime::Durable});
        m_store.transact(transaction, 0, [this, cause](const KeyReply &reply) {
            const auto it = m_unsaved.find(cause);
            if (it == m_unsaved.end())
                return;
            if (reply.outcome == KeyOutcome::Applied || reply.outcome == KeyOutcome::Conflict) {
                m_saved.insert(cause);
                m_unsaved.erase(it);
            } else {
                it->second = {BootClock{}.now() + writeRetryDelay, false};
            }
        });
    }

    void onStored(const CrashCause &cause, const std::string &text, Instant now)
    {
        const auto verdict = decodeCrashVerdict(cause, text);
        if (!verdict)
            return m_log.decision(GatewayEvent::BadDocument, keyOf(cause),
                                  {{"key", keyOf(cause)}, {"reason", "not a verdict"}});
        m_saved.insert(cause);
        m_unsaved.erase(cause);
        if (m_context.crashes.addVerdict(*verdict, now))
            logVerdict(*verdict, "store");
    }

    void onRemoved(const CrashCause &cause)
    {
        m_saved.erase(cause);
        m_unsaved.erase(cause);
        if (m_context.crashes.lift(cause, BootClock{}.now()))
            logLifted(cause, "store");
    }

    void removeVerdict(const CrashCause &cause)
    {
        logLifted(cause, "success");
        m_unsaved.erase(cause);
        if (m_saved.erase(cause) == 0)
            return;
        KeyTransaction transaction;
        transaction.deletes.push_back(keyOf(cause));
        m_store.transact(transaction, 0, [](const KeyReply &) {});
    }

    void logVerdict(const CrashVerdict &verdict, const std::string &source)
    {
        m_metrics.set(Metric::QuarantinedRequests, static_cast<double>(m_context.crashes.verdicts().size()));
        m_log.note(GatewayEvent::CauseBlocked, {{"cause", toText(verdict.cause)},
                                                {"crashes", std::to_string(verdict.crashes)},
                                                {"requests", std::to_string(verdict.requests)},
                                                {"decided_by", verdict.node},
                                                {"source", source}});
    }

    void logLifted(const CrashCause &cause, const std::string &source)
    {
        m_metrics.set(Metric::QuarantinedRequests, static_cast<double>(m_context.crashes.verdicts().size()));
        m_log.note(GatewayEvent::CauseUnblocked, {{"cause", toText(cause)}, {"source", source}});
    }

    /// Logs a crash with the prompt parts that most of its suspects have, and with how many crashes count against them.
    void logCrash(const CrashReport &report)
    {
        std::map<std::uint64_t, unsigned> counts;
        for (const auto &suspect : report.suspects) {
            for (const auto part : suspect.parts)
                ++counts[part];
        }
        std::vector<std::pair<unsigned, std::uint64_t>> parts;
        parts.reserve(counts.size());
        for (const auto &[part, count] : counts)
            parts.emplace_back(count, part);
        std::ranges::sort(parts, std::greater{});
        std::string text;
        for (std::size_t i = 0; i < std::min(parts.size(), loggedParts); ++i) {
            const CrashCause cause{CauseKind::PromptPart, parts[i].second};
            text += (text.empty() ? "" : ",") + toText(cause) + ':' + std::to_string(parts[i].first) + ':'
                    + std::to_string(m_context.crashes.crashCount(cause));
        }
        m_log.decision(GatewayEvent::UpstreamCrashed, report.process.instance,
                       {{"suspects", std::to_string(report.suspects.size())}, {"parts", text}});
    }

    Store &m_store;
    CallContext &m_context;
    GatewayLog &m_log;
    Metrics &m_metrics;
    std::string m_keyPrefix;
    std::function<NodeReport()> m_newReport;
    std::function<void(NodeReport)> m_broadcast;
    std::map<CrashCause, Write> m_unsaved;
    std::map<CrashCause, Instant> m_lifted; ///< Verdicts that this node has lifted recently, by time.
    std::size_t m_rank = 0; ///< Of this node among the live ones.
    std::set<CrashCause> m_saved; ///< Causes of the verdicts that the store has.
};

} // namespace Gypsumtally::Gateway
