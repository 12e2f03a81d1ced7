#include "peer/peerkeys.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <sstream>

namespace Gypsumtally
{

namespace
{

constexpr std::string_view scheme = "Bearer ";

using Digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

Digest digestOf(std::string_view text)
{
    Digest digest{};
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data());
    return digest;
}

std::string problemOf(const std::string &key)
{
    const auto isPrintable = [](char c) { return c > ' ' && c <= '~'; };
    if (key.size() < minKeyLength)
        return "must hold a key of at least " + std::to_string(minKeyLength) + " characters";
    if (!std::ranges::all_of(key, isPrintable))
        return "must hold one line of printable characters without spaces";
    return {};
}

} // namespace

PeerKeys::PeerKeys(std::vector<std::string> keys)
    : m_keys(std::move(keys))
{
}

Parsed<PeerKeys> PeerKeys::load(const std::vector<std::string> &files)
{
    std::vector<std::string> keys;
    std::vector<Problem> problems;
    for (const auto &file : files) {
        std::ifstream stream(file);
        if (!stream) {
            problems.push_back({file, 0, {}, "cannot be read"});
            continue;
        }
        std::ostringstream content;
        content << stream.rdbuf();
        auto key = content.str();
        key.erase(key.find_last_not_of(" \t\r\n") + 1);
        if (auto problem = problemOf(key); !problem.empty())
            problems.push_back({file, 1, {}, std::move(problem)});
        keys.push_back(std::move(key));
    }
    if (!problems.empty())
        return {std::nullopt, std::move(problems)};
    return {PeerKeys(std::move(keys)), {}};
}

bool PeerKeys::accepts(std::string_view key) const
{
    const auto given = digestOf(key);
    bool accepted = false;
    for (const auto &known : m_keys) {
        const auto digest = digestOf(known);
        accepted |= CRYPTO_memcmp(digest.data(), given.data(), digest.size()) == 0;
    }
    return accepted;
}

std::string_view bearerKey(const Http::Headers &headers)
{
    const auto value = headers.get("Authorization");
    return value.starts_with(scheme) ? value.substr(scheme.size()) : std::string_view{};
}

std::string bearerHeader(std::string_view key)
{
    return std::string(scheme) + std::string(key);
}

} // namespace Gypsumtally
