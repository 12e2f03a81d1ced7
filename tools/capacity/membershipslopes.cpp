#include "capacity/slope.h"

#include "membership/membership.h"

namespace Gypsumtally::Capacity
{

namespace
{

const std::vector<std::size_t> nodeSizes{100, 400, 1300};
const std::vector<std::size_t> upstreamSizes{500, 2000, 6100};
constexpr std::size_t regionCount = 2;

RegionId regionOf(std::size_t index)
{
    return {"region-" + std::to_string(index % regionCount)};
}

NodeRecord nodeRecord(std::size_t index)
{
    const auto address = "10.1." + std::to_string(index / 250) + '.' + std::to_string(index % 250);
    return {{"entry-" + std::to_string(index)},
            {"0123456789abcdef"},
            {address, 8080, false},
            {address, 8081, false},
            regionOf(index),
            {"domain-" + std::to_string(index % 4)},
            NodeState::Live};
}

std::vector<KeyValue> nodeValues(std::size_t count)
{
    std::vector<KeyValue> values;
    for (std::size_t index = 0; index < count; ++index) {
        const auto record = nodeRecord(index);
        values.push_back({nodeKey(record.id), encodeNode(record), static_cast<Revision>(index + 1)});
    }
    return values;
}

std::vector<Vm> vms(std::size_t count)
{
    std::vector<Vm> list;
    for (std::size_t index = 0; index < count; ++index) {
        Vm vm;
        vm.id = {"engine-" + std::to_string(index)};
        vm.endpoint = {"10.2." + std::to_string(index / 250) + '.' + std::to_string(index % 250), 8000, false};
        vm.region = regionOf(index);
        vm.failureDomain = {"domain-" + std::to_string(index % 4)};
        vm.base = "base-" + std::to_string(index % 2);
        list.push_back(std::move(vm));
    }
    return list;
}

Work nodesKnown(std::size_t count)
{
    return [values = nodeValues(count)] {
        auto membership = std::make_shared<Membership>(nodeRecord(0));
        membership->applyNodeSnapshot(values);
        return membership;
    };
}

Work upstreamsKnown(std::size_t count)
{
    return [list = vms(count)] {
        auto membership = std::make_shared<Membership>(nodeRecord(0));
        membership->applyVmList(list);
        return membership;
    };
}

constexpr std::size_t ownersChosen = 200;

Work ownerChosen(std::size_t nodes)
{
    auto membership = std::make_shared<Membership>(nodeRecord(0));
    membership->applyNodeSnapshot(nodeValues(nodes));
    return [membership, list = vms(ownersChosen)] {
        for (const auto &vm : list)
            membership->preferredOwner(vm);
        return membership;
    };
}

Work vmListParsed(std::size_t count)
{
    std::string body = R"({"vms":[)";
    for (std::size_t index = 0; index < count; ++index) {
        body += index == 0 ? "" : ",";
        body += R"({"id":"engine-)" + std::to_string(index)
                + R"(","role":"engine","state":"live","address":"10.2.1.1:8000","region":"region-0",)"
                  R"("failure_domain":"domain-1","base":"base-0"})";
    }
    body += "]}";
    return [body] { return std::make_shared<std::optional<std::vector<Vm>>>(parseVmList(body)); };
}

} // namespace

std::vector<Subject> membershipSubjects()
{
    return {
        {"known node", "membership", nodeSizes, nodesKnown},
        {"known upstream", "membership", upstreamSizes, upstreamsKnown},
        {"upstream in a parsed VM list", "platform", upstreamSizes, vmListParsed},
        {"candidate node when choosing an upstream's owner", "membership", nodeSizes, ownerChosen, ownersChosen},
    };
}

} // namespace Gypsumtally::Capacity
