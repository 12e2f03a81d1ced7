#pragma once

#include "common/keyvalue.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace Gypsumtally::Gateway
{

/// One change of a key; without a value it was removed.
struct KeyChange {
    std::string key;
    std::optional<std::string> value;
    Revision revision = 0;
};

/// All changes under a prefix between two revisions, as one node has read them and tells others, so that not every node
/// has to ask the store.
struct RegistryShare {
    Revision after = 0;
    std::vector<KeyChange> changes; ///< By revision.
    Revision revision = 0; ///< The last one that is covered.
};

/// Divides @p share into parts that follow on each other, each with at most @p bytes of keys and values or with the
/// changes of one revision. Thread-safe.
std::vector<RegistryShare> split(RegistryShare share, std::size_t bytes);

} // namespace Gypsumtally::Gateway
