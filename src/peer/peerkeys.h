#pragma once

#include "http/message.h"
#include "yaml/problem.h"

#include <string>
#include <string_view>
#include <vector>

namespace Gypsumtally
{

/// Shared secrets read from files: the peers' keys or the operators' token. Immutable.
class PeerKeys
{
public:
    /// Creates an empty set, which accepts no key.
    PeerKeys() = default;

    /// Reads one key from each of @p files. The first key is sent and all are accepted, so that a key can be replaced
    /// while nodes still use the old one. Thread-safe; blocks.
    static Parsed<PeerKeys> load(const std::vector<std::string> &files);

    /// Creates a set of the given keys. Precondition: each has at least minKeyLength characters.
    explicit PeerKeys(std::vector<std::string> keys);

    /// Returns true if @p key is one of the keys, in a time that does not depend on where they differ. Thread-safe.
    bool accepts(std::string_view key) const;

    /// Returns the key to send. Precondition: the set is not empty.
    const std::string &keyToSend() const
    {
        return m_keys.front();
    }

private:
    std::vector<std::string> m_keys;
};

/// The shortest key that is accepted, in characters.
inline constexpr std::size_t minKeyLength = 16;

/// Returns the key of an `Authorization: Bearer KEY` header, or an empty string. Thread-safe.
std::string_view bearerKey(const Http::Headers &headers);

/// Returns the value of the Authorization header for @p key, which bearerKey() reads. Thread-safe.
std::string bearerHeader(std::string_view key);

} // namespace Gypsumtally
