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

/// Role of a VM in the platform's list.
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

/// A VM, as last reported in the platform's list.
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

/// Parses the JSON of the VM list and skips invalid entries. Returns nothing if @p body is not a VM list. Thread-safe.
std::optional<std::vector<Vm>> parseVmList(std::string_view body);

/// The list of adapters that the weight store holds.
struct Catalogue {
    std::string etag;
    std::vector<std::string> adapters;
};

/// Parses the weight store's catalogue; returns nothing if @p body is not a catalogue. Thread-safe.
std::optional<Catalogue> parseCatalogue(std::string_view body);

} // namespace Gypsumtally
