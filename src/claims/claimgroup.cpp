#include "claims/claimgroup.h"

#include <algorithm>
#include <utility>

namespace Gypsumtally
{
namespace
{

using Status = ClaimWriteResult::Status;

/// Returns the result of a write to a held claim in a transaction that conflicted. The claim's own compare can only
/// fail because the write took effect before or the claim no longer exists.
ClaimWriteResult heldResult(const ClaimWrite &write, const KeyReply &conflict)
{
    const auto *present = findKey(conflict.values, write.key);
    if (present && present->modRevision == write.revision)
        return {};
    return {Status::Done, write.key, 0, {}};
}

} // namespace

ClaimGroup::ClaimGroup(const ClaimWindow &window, std::vector<ClaimWrite> writes, const ClaimSafeguards &safeguards)
    : m_window(window)
    , m_writes(std::move(writes))
    , m_safeguards(safeguards)
{
}

KeyTransaction ClaimGroup::transaction() const
{
    KeyTransaction transaction;
    const auto isCreate = [](const ClaimWrite &write) { return write.kind == ClaimWriteKind::Create; };
    if (m_safeguards.fenceWindow && std::ranges::any_of(m_writes, isCreate))
        transaction.compares.push_back(m_window.fence());
    for (const auto &write : m_writes) {
        if (isCreate(write)) {
            addCreate(write, transaction);
            continue;
        }
        transaction.compares.push_back({write.key, write.revision});
        if (write.kind == ClaimWriteKind::Release)
            transaction.deletes.push_back(write.key);
        else
            transaction.puts.push_back({write.key, encodeClaim(write.record), KeyLifetime::Durable});
    }
    return transaction;
}

void ClaimGroup::addCreate(const ClaimWrite &write, KeyTransaction &transaction) const
{
    const auto current = m_window.currentKey(write.name);
    if (m_safeguards.createIfAbsent) {
        transaction.compares.push_back({current, write.revision});
        if (m_safeguards.lookBack)
            transaction.compares.push_back({m_window.previousKey(write.name), 0});
    }
    transaction.puts.push_back({current, encodeClaim(write.record), KeyLifetime::Durable});
}

ClaimWriteResult ClaimGroup::result(std::size_t index, const KeyReply &reply) const
{
    const auto &write = m_writes[index];
    if (reply.outcome == KeyOutcome::Conflict)
        return write.kind == ClaimWriteKind::Create ? createResult(write, reply) : heldResult(write, reply);
    const auto key = write.kind == ClaimWriteKind::Create ? m_window.currentKey(write.name) : write.key;
    return {Status::Done, key, reply.revision, {}};
}

ClaimWriteResult ClaimGroup::createResult(const ClaimWrite &write, const KeyReply &conflict) const
{
    for (const auto &key : {m_window.currentKey(write.name), m_window.previousKey(write.name)}) {
        const auto *present = findKey(conflict.values, key);
        if (!present || present->modRevision == write.revision)
            continue;
        const auto record = decodeClaim(present->value);
        if (record && record->token == write.record.token)
            return {Status::Done, key, present->modRevision, {}};
        return {Status::Lost, key, present->modRevision, present->value};
    }
    return {};
}

} // namespace Gypsumtally
