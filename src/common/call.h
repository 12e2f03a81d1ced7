#pragma once

#include "common/clock.h"
#include "common/enumtable.h"
#include "common/identifiers.h"
#include "common/modelname.h"

#include <optional>
#include <string>

namespace Gypsumtally
{

/// The urgency of a request, set by the `Gypsumtally-Class` header.
enum class ServiceClass {
    Urgent, ///< Interactive requests, such as roster checks and reads that people wait for.
    Standard,
    Bulk, ///< Briefings and summaries: may be delayed, but must complete.
};

template<>
inline constexpr EnumTable<ServiceClass, 3> enumNames<ServiceClass>{{
    {ServiceClass::Urgent, "urgent"},
    {ServiceClass::Standard, "standard"},
    {ServiceClass::Bulk, "bulk"},
}};

/// The attributes of a request that decisions such as routing use. The body stays with the threads that transfer it.
struct CallAttributes {
    CallId id = 0;
    std::optional<AdapterVersion> model; ///< Set for a model request.
    std::string service; ///< Set for a plain service call.
    CustomerId customer;
    RegionId callerRegion;
    ServiceClass serviceClass = ServiceClass::Standard;
    Instant arrival{};
    std::optional<Instant> deadline;
    bool idempotent = true;
    std::string idempotencyKey; ///< Empty if the caller gave none.
    std::uint64_t fingerprint = 0; ///< Hash of the model or service and the body; a retry has the same value.
    std::uint32_t promptTokens = 0; ///< Estimate from the size of the body.
    std::uint32_t maxTokens = 0;
};

} // namespace Gypsumtally
