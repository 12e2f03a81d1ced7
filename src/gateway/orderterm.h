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

/// The last time that a shard's lease was taken by anybody. Its record in the store lasts, beside that of the lease.
struct OrderTerm {
    std::uint64_t number = 0; ///< Counts the takings of the lease; 0 if it was never taken.
    OrderHolder holder;
    bool settled = false; ///< No earlier holder can be ordering any more.
    Revision revision = 0; ///< Of the record; 0 if there is none.
};

/// Returns what a lease that @p self takes now has to do with @p last. A holder whose term was not settled may have had
/// predecessors that still order. Thread-safe.
Predecessor predecessorOf(const OrderTerm &last, const OrderHolder &self);

/// The form of a term in the store, without its revision. Thread-safe.
std::string encode(const OrderTerm &term);

/// Reads the record at @p revision; one that is not there or cannot be read is no term. Thread-safe.
OrderTerm decodeOrderTerm(const std::optional<std::string> &value, Revision revision);

} // namespace Gypsumtally::Gateway
