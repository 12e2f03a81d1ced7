#include "claims/claimwindow.h"

#include <charconv>

namespace Gypsumtally
{
namespace
{

constexpr std::uint64_t firstBucket = 1;

std::string bucketPrefix(std::uint64_t bucket)
{
    return "/gypsumtally/claims/" + std::to_string(bucket) + "/";
}

} // namespace

const std::string &ClaimWindow::key()
{
    static const std::string key = "/gypsumtally/claims/current";
    return key;
}

bool ClaimWindow::adopt(const KeyValue &value, Instant now)
{
    if (value.modRevision <= m_revision)
        return true;
    std::uint64_t bucket = 0;
    const auto *const end = value.value.data() + value.value.size();
    const auto parsed = std::from_chars(value.value.data(), end, bucket);
    if (parsed.ec != std::errc{} || parsed.ptr != end || bucket < firstBucket)
        return false;
    m_bucket = bucket;
    m_revision = value.modRevision;
    m_since = now;
    return true;
}

std::string ClaimWindow::currentKey(const std::string &name) const
{
    return bucketPrefix(m_bucket) + name;
}

std::string ClaimWindow::previousKey(const std::string &name) const
{
    return bucketPrefix(m_bucket - 1) + name;
}

KeyTransaction ClaimWindow::create()
{
    KeyTransaction transaction;
    transaction.compares.push_back({key(), 0});
    transaction.puts.push_back({key(), std::to_string(firstBucket), KeyLifetime::Durable});
    return transaction;
}

KeyTransaction ClaimWindow::advance() const
{
    KeyTransaction transaction;
    transaction.compares.push_back(fence());
    transaction.puts.push_back({key(), std::to_string(m_bucket + 1), KeyLifetime::Durable});
    transaction.deletePrefixes.push_back(bucketPrefix(m_bucket - 1));
    return transaction;
}

} // namespace Gypsumtally
