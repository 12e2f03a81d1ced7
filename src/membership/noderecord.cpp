#include "membership/noderecord.h"

#include "common/jsonfields.h"

#include <boost/json.hpp>

namespace Gypsumtally
{

namespace json = boost::json;

std::string nodeKey(const NodeId &node)
{
    return std::string(nodePrefix) + node.value;
}

std::string encodeNode(const NodeRecord &record)
{
    return json::serialize(json::object{{"id", record.id.value},
                                        {"incarnation", record.incarnation.value},
                                        {"callers", toString(record.callers)},
                                        {"callers_tls", record.callers.tls},
                                        {"peers", toString(record.peers)},
                                        {"peers_tls", record.peers.tls},
                                        {"region", record.region.value},
                                        {"failure_domain", record.failureDomain.value},
                                        {"state", nameOf(record.state)}});
}

std::optional<NodeRecord> decodeNode(std::string_view text)
{
    boost::system::error_code error;
    const auto value = json::parse(text, error);
    const auto *object = error ? nullptr : value.if_object();
    if (!object)
        return std::nullopt;
    NodeRecord record{{textAt(*object, "id")},
                      {textAt(*object, "incarnation")},
                      Http::parseEndpoint(textAt(*object, "callers")),
                      Http::parseEndpoint(textAt(*object, "peers")),
                      {textAt(*object, "region")},
                      {textAt(*object, "failure_domain")},
                      valueOf<NodeState>(textAt(*object, "state")).value_or(NodeState::Live)};
    record.callers.tls = flagAt(*object, "callers_tls");
    record.peers.tls = flagAt(*object, "peers_tls");
    if (record.id.empty() || record.incarnation.empty() || record.peers.port == 0)
        return std::nullopt;
    return record;
}

} // namespace Gypsumtally
