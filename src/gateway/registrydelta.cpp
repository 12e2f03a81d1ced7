#include "gateway/registrydelta.h"

#include <utility>

namespace Gypsumtally::Gateway
{

namespace
{

std::size_t bytesOf(const KeyChange &change)
{
    return change.key.size() + (change.value ? change.value->size() : 0);
}

std::size_t bytesOf(const RegistryDelta &delta)
{
    std::size_t sum = 0;
    for (const auto &change : delta.changes)
        sum += bytesOf(change);
    return sum;
}

} // namespace

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

} // namespace Gypsumtally::Gateway
