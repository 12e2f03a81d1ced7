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
    StoreEra era = 0; ///< Of the store when the lease was acquired.
    StoreEra firstEra = 0; ///< Of the store at the earliest acquisition that states one.
};

/// Returns the relation of @p last to a lease that @p self acquires in @p era. Other if @p last was not settled, since
/// its holder may have had predecessors that still order, or if it is of another era, since the store may have lost
/// later terms. Thread-safe.
Predecessor predecessorOf(const OrderTerm &last, const OrderHolder &self, StoreEra era);

/// Returns the term, without a revision, in which @p self holds the lease after @p last. Its number is higher than that
/// of each term of earlier eras, also of those that the store has lost. Thread-safe.
OrderTerm termAfter(const OrderTerm &last, const OrderHolder &self, StoreEra era);

/// Returns the fencing token of @p term, which was acquired at @p revision. It grows with each term, although revisions
/// are given out again in a later era. Thread-safe.
std::uint64_t fenceOf(const OrderTerm &term, Revision revision);

/// Returns the stored form of a term, which excludes its revision. Thread-safe.
std::string encode(const OrderTerm &term);

/// Decodes the record at @p revision. Returns an empty term if the record is missing or invalid. Thread-safe.
OrderTerm decodeOrderTerm(const std::optional<std::string> &value, Revision revision);

} // namespace Gypsumtally::Gateway
