#pragma once

#include "common/enumtable.h"
#include "common/identifiers.h"
#include "http/message.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Gypsumtally
{

/// What a VM in the platform's list is for.
enum class VmRole {
    Engine,
    Service,
    Entry,
};

template<>
inline constexpr EnumTable<VmRole, 3> enumNames<VmRole>{{
    {VmRole::Engine, "engine"},
    {VmRole::Service, "service"},
    {VmRole::Entry, "entry"},
}};

/// One VM, as the platform's list last told of it.
struct Vm {
    UpstreamId id;
    VmRole role = VmRole::Engine;
    bool leaving = false;
    Http::Endpoint endpoint;
    RegionId region;
    FailureDomainId failureDomain;
    std::string base; ///< The base model of an engine.
    std::string service; ///< The service that a worker runs.

    friend bool operator==(const Vm &, const Vm &) = default;
};

/// Reads the VM list's JSON; entries that are not understood are left out. Nothing if it is not a list. Thread-safe.
std::optional<std::vector<Vm>> parseVmList(std::string_view body);

/// The adapters that the weight store holds.
struct Catalogue {
    std::string etag;
    std::vector<std::string> adapters;
};

/// Reads the weight store's catalogue; nothing if it is not one. Thread-safe.
std::optional<Catalogue> parseCatalogue(std::string_view body);

} // namespace Gypsumtally
