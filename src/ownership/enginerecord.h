#pragma once

#include "common/identifiers.h"
#include "common/modelname.h"

#include <boost/leaf/result.hpp>

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Gypsumtally
{

/// An earlier owner that may still have requests or orders in flight.
struct Predecessor {
    NodeId node;
    Incarnation incarnation;

    friend auto operator<=>(const Predecessor &, const Predecessor &) = default;
};

/// The durable ownership record of one upstream.
struct EngineRecord {
    NodeId owner;
    Incarnation incarnation; ///< The owner's process.
    Epoch epoch = 0; ///< Fencing token of the owner's orders.
    std::set<AdapterVersion> givenUp; ///< Adapters that get no requests; only these may be evicted.
    std::vector<Predecessor> predecessors; ///< Earlier owners not confirmed to be finished, oldest first.

    friend bool operator==(const EngineRecord &, const EngineRecord &) = default;
};

/// A parse error in a stored record.
struct RecordError {
    std::string place; ///< JSON pointer to the invalid value; empty if the text is not a JSON object.
    std::string message;
};

/// Prefix of the keys of all ownership records.
inline constexpr std::string_view engineRecordPrefix = "/gypsumtally/upstreams/";

/// Returns the key of the ownership record of @p upstream. Thread-safe.
std::string engineRecordKey(const UpstreamId &upstream);

/// Parses a record; the error is a RecordError. Thread-safe.
boost::leaf::result<EngineRecord> parseEngineRecord(std::string_view text);

/// Serializes a record to the JSON that parseEngineRecord() reads. Thread-safe.
std::string toJson(const EngineRecord &record);

} // namespace Gypsumtally
