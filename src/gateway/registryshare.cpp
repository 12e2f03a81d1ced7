#include "gateway/registryshare.h"

#include <utility>

namespace Gypsumtally::Gateway
{

std::vector<RegistryShare> split(RegistryShare share, std::size_t bytes)
{
    std::vector<RegistryShare> parts;
    RegistryShare part{share.after, {}, share.after};
    std::size_t size = 0;
    for (auto &change : share.changes) {
        const auto added = change.key.size() + (change.value ? change.value->size() : 0);
        if (!part.changes.empty() && size + added > bytes && change.revision > part.revision) {
            const auto last = part.revision;
            parts.push_back(std::exchange(part, RegistryShare{last, {}, last}));
            size = 0;
        }
        size += added;
        part.revision = change.revision;
        part.changes.push_back(std::move(change));
    }
    part.revision = share.revision;
    parts.push_back(std::move(part));
    return parts;
}

} // namespace Gypsumtally::Gateway
