#include "ownership/enginerecord.h"

#include <boost/json.hpp>
#include <boost/leaf.hpp>

namespace Gypsumtally
{

namespace
{

namespace json = boost::json;
namespace leaf = boost::leaf;

/// Reads the fields of a record and keeps the first error; see error().
class RecordReader
{
public:
    EngineRecord read(const json::object &object)
    {
        EngineRecord record;
        record.owner.value = text(object, "/owner");
        record.incarnation.value = text(object, "/incarnation");
        record.epoch = epoch(object);
        for (const auto &item : list(object, "/given_up"))
            readGivenUp(item, record.givenUp);
        for (const auto &item : list(object, "/predecessors"))
            readPredecessor(item, record.predecessors);
        return record;
    }

    const std::optional<RecordError> &error() const
    {
        return m_error;
    }

private:
    std::string text(const json::object &object, const std::string &place, const std::string &parent = {})
    {
        const json::value *value = object.if_contains(place.substr(1));
        const json::string *found = value ? value->if_string() : nullptr;
        if (found && !found->empty())
            return std::string(*found);
        fail(parent + place, "expected a non-empty string");
        return {};
    }

    Epoch epoch(const json::object &object)
    {
        const json::value *value = object.if_contains("epoch");
        boost::system::error_code code;
        const auto number = value && value->is_number() ? value->to_number<Epoch>(code) : Epoch{0};
        if (code || number == 0)
            fail("/epoch", "expected an integer of at least 1");
        return number;
    }

    const json::array &list(const json::object &object, const std::string &place)
    {
        static const json::array none;
        const json::value *value = object.if_contains(place.substr(1));
        const json::array *found = value ? value->if_array() : nullptr;
        if (!found)
            fail(place, "expected an array");
        return found ? *found : none;
    }

    void readGivenUp(const json::value &item, std::set<AdapterVersion> &givenUp)
    {
        const json::string *name = item.if_string();
        const auto model = name ? parseModelName(*name) : std::nullopt;
        if (!model)
            return fail("/given_up/" + std::to_string(givenUp.size()), "expected BASE/ADAPTER@VERSION");
        givenUp.insert(*model);
    }

    void readPredecessor(const json::value &item, std::vector<Predecessor> &predecessors)
    {
        const std::string place = "/predecessors/" + std::to_string(predecessors.size());
        const json::object *object = item.if_object();
        if (!object)
            return fail(place, "expected an object");
        predecessors.push_back({{text(*object, "/node", place)}, {text(*object, "/incarnation", place)}});
    }

    void fail(std::string place, std::string message)
    {
        if (!m_error)
            m_error = RecordError{std::move(place), std::move(message)};
    }

    std::optional<RecordError> m_error;
};

} // namespace

std::string engineRecordKey(const UpstreamId &upstream)
{
    return std::string(engineRecordPrefix) + upstream.value;
}

leaf::result<EngineRecord> parseEngineRecord(std::string_view text)
{
    boost::system::error_code code;
    const json::value value = json::parse(text, code);
    if (code)
        return leaf::new_error(RecordError{{}, "invalid JSON: " + code.message()});
    const json::object *object = value.if_object();
    if (!object)
        return leaf::new_error(RecordError{{}, "expected an object"});
    RecordReader reader;
    EngineRecord record = reader.read(*object);
    if (reader.error())
        return leaf::new_error(*reader.error());
    return record;
}

std::string toJson(const EngineRecord &record)
{
    json::array givenUp;
    for (const auto &model : record.givenUp)
        givenUp.emplace_back(toModelName(model));
    json::array predecessors;
    for (const auto &[node, incarnation] : record.predecessors)
        predecessors.push_back(json::object{{"node", node.value}, {"incarnation", incarnation.value}});
    return json::serialize(json::object{{"owner", record.owner.value},
                                        {"incarnation", record.incarnation.value},
                                        {"epoch", record.epoch},
                                        {"given_up", std::move(givenUp)},
                                        {"predecessors", std::move(predecessors)}});
}

} // namespace Gypsumtally
