#pragma once

#include "common/keyvalue.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace Gypsumtally::Testing
{

/// An in-memory key-value service that counts reads and writes. Every call takes effect immediately; delay and loss are
/// simulated by the users of this class.
class FakeKeyValue
{
public:
    KeyReply apply(const KeyCall &call)
    {
        if (const auto *read = std::get_if<KeyRead>(&call.operation)) {
            ++m_reads;
            return {KeyOutcome::Applied, m_revision, range(*read)};
        }
        ++m_writes;
        return apply(std::get<KeyTransaction>(call.operation));
    }

    std::size_t reads() const
    {
        return m_reads;
    }

    std::size_t writes() const
    {
        return m_writes;
    }

    const std::map<std::string, KeyValue> &values() const
    {
        return m_values;
    }

private:
    std::vector<KeyValue> range(const KeyRead &read) const
    {
        std::vector<KeyValue> found;
        for (auto it = m_values.lower_bound(read.key); it != m_values.end(); ++it) {
            if (read.isPrefix ? !it->first.starts_with(read.key) : it->first != read.key)
                break;
            found.push_back(it->second);
        }
        return found;
    }

    KeyReply apply(const KeyTransaction &transaction)
    {
        KeyReply conflict{KeyOutcome::Conflict, m_revision, {}};
        bool holds = true;
        for (const auto &compare : transaction.compares) {
            const auto found = m_values.find(compare.key);
            holds = holds && (found == m_values.end() ? 0 : found->second.modRevision) == compare.modRevision;
            if (found != m_values.end())
                conflict.values.push_back(found->second);
        }
        if (!holds)
            return conflict;
        ++m_revision;
        for (const auto &key : transaction.deletes)
            m_values.erase(key);
        for (const auto &prefix : transaction.deletePrefixes)
            std::erase_if(m_values, [&](const auto &entry) { return entry.first.starts_with(prefix); });
        for (const auto &put : transaction.puts)
            m_values[put.key] = {put.key, put.value, m_revision};
        return {KeyOutcome::Applied, m_revision, {}};
    }

    std::map<std::string, KeyValue> m_values;
    Revision m_revision = 1;
    std::size_t m_reads = 0;
    std::size_t m_writes = 0;
};

} // namespace Gypsumtally::Testing
