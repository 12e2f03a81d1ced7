#include "keyvalue/vmlist.h"

#include "common/jsonfields.h"

#include <boost/json.hpp>

namespace Gypsumtally
{

namespace json = boost::json;

namespace
{

std::optional<Vm> toVm(const json::object &object)
{
    const auto role = valueOf<VmRole>(textAt(object, "role"));
    Vm vm;
    vm.id = {textAt(object, "id")};
    vm.endpoint = Http::parseEndpoint(textAt(object, "address"));
    if (!role || vm.id.empty() || vm.endpoint.port == 0)
        return std::nullopt;
    vm.role = *role;
    vm.leaving = textAt(object, "state") == "leaving";
    vm.region = {textAt(object, "region")};
    vm.failureDomain = {textAt(object, "failure_domain")};
    vm.base = textAt(object, "base");
    vm.service = textAt(object, "service");
    return vm;
}

const json::array *parseList(json::value &holder, std::string_view body, std::string_view name)
{
    boost::system::error_code error;
    holder = json::parse(body, error);
    if (error || !holder.is_object())
        return nullptr;
    return arrayAt(holder.as_object(), name);
}

} // namespace

std::optional<std::vector<Vm>> parseVmList(std::string_view body)
{
    json::value holder;
    const auto *list = parseList(holder, body, "vms");
    if (!list)
        return std::nullopt;
    std::vector<Vm> vms;
    for (const auto &entry : *list) {
        const auto *object = entry.if_object();
        if (auto vm = object ? toVm(*object) : std::nullopt)
            vms.push_back(std::move(*vm));
    }
    return vms;
}

std::optional<Catalogue> parseCatalogue(std::string_view body)
{
    json::value holder;
    const auto *list = parseList(holder, body, "adapters");
    if (!list)
        return std::nullopt;
    Catalogue catalogue;
    for (const auto &entry : *list) {
        if (const auto *name = entry.if_string())
            catalogue.adapters.emplace_back(*name);
    }
    return catalogue;
}

} // namespace Gypsumtally
