#include "quarantine/recordwriter.h"

#include <utility>

namespace Gypsumtally
{
namespace
{

constexpr std::size_t maxWrites = 32;

} // namespace

void RecordWriter::write(const std::string &key, RecordWrite write)
{
    m_waiting.insert_or_assign(key, std::move(write));
}

std::optional<KeyTransaction> RecordWriter::next(Instant now)
{
    if (m_waiting.empty() || !m_sent.empty() || now < m_notBefore)
        return std::nullopt;
    KeyTransaction transaction;
    while (!m_waiting.empty() && m_sent.size() < maxWrites) {
        const auto node = m_sent.insert(m_waiting.extract(m_waiting.begin())).position;
        const auto &[key, write] = *node;
        transaction.compares.push_back({key, write.revision});
        if (write.value)
            transaction.puts.push_back({key, *write.value, KeyLifetime::Durable});
        else
            transaction.deletes.push_back(key);
    }
    return transaction;
}

void RecordWriter::onReply(const KeyReply &reply, Instant now)
{
    const auto sent = std::exchange(m_sent, {});
    if (reply.outcome == KeyOutcome::Applied)
        return;
    if (reply.outcome != KeyOutcome::Conflict)
        m_notBefore = now + m_retryInterval;
    for (const auto &[key, write] : sent) {
        const auto *present = findKey(reply.values, key);
        const Revision revision = present ? present->modRevision : 0;
        const bool isOvertaken = reply.outcome == KeyOutcome::Conflict && revision != write.revision;
        if (!isOvertaken)
            m_waiting.try_emplace(key, write);
    }
}

} // namespace Gypsumtally
