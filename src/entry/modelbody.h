#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace Gypsumtally
{

enum class JsonKind {
    Absent,
    Null,
    Bool,
    Integer, ///< A number that fits std::int64_t.
    Number, ///< Any other number.
    String,
    Array,
    Object,
};

/// A member of a JSON object.
struct JsonMember {
    JsonKind kind = JsonKind::Absent;
    bool boolean = false; ///< Valid for JsonKind::Bool.
    std::int64_t integer = 0; ///< Valid for JsonKind::Integer.
    std::string text; ///< Valid for JsonKind::String; only of the member `model`.
};

/// The body of a model request.
struct ModelBody {
    JsonMember model;
    JsonMember stream;
    JsonMember maxTokens;
    JsonMember prompt;
    JsonMember messages;
    std::string text; ///< The body without white space and without the members that only the system sets.
};

/// Parses the JSON object @p body. Takes memory of about its size, however many values it has. Returns the problem if
/// it is no JSON object, or if it has one of the members of ModelBody twice. Thread-safe.
std::variant<ModelBody, std::string> readModelBody(std::string_view body);

} // namespace Gypsumtally
