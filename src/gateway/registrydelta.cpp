#include "gateway/registrydelta.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace Gypsumtally::Gateway
{

namespace
{

std::size_t bytesOf(const KeyChange &change)
{
    return change.key.size() + (change.value ? change.value->size() : 0);
}

/// Returns true if @p text is written in a datagram as it is, but for quotes and backslashes.
bool isPrintable(std::string_view text)
{
    return std::ranges::all_of(text, [](char c) { return c >= ' ' && c <= '~'; });
}

} // namespace

std::size_t bytesOf(const RegistryDelta &delta)
{
    std::size_t sum = 0;
    for (const auto &change : delta.changes)
        sum += bytesOf(change);
    return sum;
}

std::vector<RegistryDelta> split(RegistryDelta delta, std::size_t bytes, std::size_t largest)
{
    std::vector<RegistryDelta> parts;
    RegistryDelta part{delta.after, {}, delta.after};
    std::size_t size = 0;
    for (auto &change : delta.changes) {
        const auto added = bytesOf(change);
        if (!part.changes.empty() && size + added > bytes && change.revision > part.revision) {
            const auto last = part.revision;
            parts.push_back(std::exchange(part, RegistryDelta{last, {}, last}));
            size = 0;
        }
        size += added;
        part.revision = change.revision;
        part.changes.push_back(std::move(change));
    }
    part.revision = delta.revision;
    part.age = delta.age;
    parts.push_back(std::move(part));
    for (auto &each : parts) {
        if (bytesOf(each) > largest)
            each = {each.revision, {}, each.revision, each.age};
    }
    return parts;
}

void dropUnusableValues(RegistryDelta &delta, std::size_t bytes, const std::function<bool(const KeyChange &)> &isUsable)
{
    for (auto &change : delta.changes) {
        if (change.value && (change.value->size() > bytes || !isPrintable(*change.value)) && !isUsable(change))
            change.value = std::string{};
    }
}

} // namespace Gypsumtally::Gateway
