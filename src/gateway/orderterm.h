#pragma once

#include "common/keyvalue.h"
#include "gateway/orderlease.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Gypsumtally::Gateway
{

/// A process that may hold an order lease.
struct OrderHolder {
    std::string node;
    std::int64_t startedAt = 0;

    friend bool operator==(const OrderHolder &, const OrderHolder &) = default;
};

/// The latest acquisition of a shard's lease by any node. Its record in the store is durable, unlike that of the
/// lease.
struct OrderTerm {
    std::uint64_t number = 0; ///< Number of acquisitions of the lease so far; 0 if it was never acquired.
    OrderHolder holder;
    bool settled = false; ///< No earlier holder can still be ordering.
    Revision revision = 0; ///< Revision of the record; 0 if there is none.
};

/// Returns the relation of @p last to a lease that @p self acquires now. Other if @p last was not settled, since its
/// holder may have had predecessors that still order. Thread-safe.
Predecessor predecessorOf(const OrderTerm &last, const OrderHolder &self);

/// Returns the stored form of a term, which excludes its revision. Thread-safe.
std::string encode(const OrderTerm &term);

/// Decodes the record at @p revision. Returns an empty term if the record is missing or invalid. Thread-safe.
OrderTerm decodeOrderTerm(const std::optional<std::string> &value, Revision revision);

} // namespace Gypsumtally::Gateway
