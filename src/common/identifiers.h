#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace Gypsumtally
{

/// A string identifier that does not convert to identifiers of other kinds.
template<typename Tag>
struct Identifier {
    std::string value;

    bool empty() const
    {
        return value.empty();
    }

    friend auto operator<=>(const Identifier &, const Identifier &) = default;
};

using NodeId = Identifier<struct NodeTag>; ///< The name of an entry node from its settings; the same after a restart.
using UpstreamId = Identifier<struct UpstreamTag>; ///< An engine or a worker of a plain service.
using RegionId = Identifier<struct RegionTag>;
using FailureDomainId = Identifier<struct FailureDomainTag>;
using CustomerId = Identifier<struct CustomerTag>; ///< The customer of a request; the unit of fair sharing.

/// The id of one run of an entry node's process: 64 random bits in hexadecimal digits, never reused.
using Incarnation = Identifier<struct IncarnationTag>;

/// The id of a request, unique within one node's process.
using CallId = std::uint64_t;

/// The fencing token of an upstream's ownership. Increases by one with each change of owner.
using Epoch = std::uint64_t;

} // namespace Gypsumtally

template<typename Tag>
struct std::hash<Gypsumtally::Identifier<Tag>> {
    std::size_t operator()(const Gypsumtally::Identifier<Tag> &id) const noexcept
    {
        return std::hash<std::string>{}(id.value);
    }
};
