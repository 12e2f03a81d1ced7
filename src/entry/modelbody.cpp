#include "entry/modelbody.h"

#include <boost/json/basic_parser_impl.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <utility>

namespace Gypsumtally
{

namespace json = boost::json;

namespace
{

using ErrorCode = json::error_code;
using Text = json::string_view;

constexpr std::array<std::string_view, 3> systemMembers{"request_id", "priority", "resume_from"};

struct KnownMember {
    std::string_view name;
    JsonMember ModelBody::*member;
};

constexpr std::array<KnownMember, 5> knownMembers{{
    {"model", &ModelBody::model},
    {"stream", &ModelBody::stream},
    {"max_tokens", &ModelBody::maxTokens},
    {"prompt", &ModelBody::prompt},
    {"messages", &ModelBody::messages},
}};

// NOLINTBEGIN(readability-identifier-naming): the parser's names.
/// Receives the events of the parser, and writes the values that it keeps to the text of the body.
class BodyHandler
{
public:
    static constexpr std::size_t max_object_size = std::string::npos;
    static constexpr std::size_t max_array_size = std::string::npos;
    static constexpr std::size_t max_key_size = std::string::npos;
    static constexpr std::size_t max_string_size = std::string::npos;

    explicit BodyHandler(std::size_t size)
    {
        body.text.reserve(size);
    }

    bool on_document_begin(ErrorCode &)
    {
        return true;
    }

    bool on_document_end(ErrorCode &)
    {
        return true;
    }

    bool on_object_begin(ErrorCode &)
    {
        beginValue(JsonKind::Object);
        ++m_depth;
        write("{");
        return true;
    }

    bool on_object_end(std::size_t, ErrorCode &)
    {
        return endContainer("}");
    }

    bool on_array_begin(ErrorCode &)
    {
        beginValue(JsonKind::Array);
        ++m_depth;
        write("[");
        return true;
    }

    bool on_array_end(std::size_t, ErrorCode &)
    {
        return endContainer("]");
    }

    bool on_key_part(Text part, std::size_t, ErrorCode &)
    {
        m_key.append(part.data(), part.size());
        return true;
    }

    bool on_key(Text part, std::size_t, ErrorCode &)
    {
        m_key.append(part.data(), part.size());
        if (m_depth == 1)
            beginMember();
        separate();
        write("\"");
        writeEscaped(m_key);
        write("\":");
        m_key.clear();
        return true;
    }

    bool on_string_part(Text part, std::size_t, ErrorCode &)
    {
        if (!std::exchange(m_isInString, true)) {
            beginValue(JsonKind::String);
            write("\"");
        }
        writeEscaped(part);
        if (m_member && m_member == &body.model)
            m_member->text.append(part.data(), part.size());
        return true;
    }

    bool on_string(Text part, std::size_t size, ErrorCode &error)
    {
        on_string_part(part, size, error);
        m_isInString = false;
        write("\"");
        return endValue();
    }

    bool on_number_part(Text part, ErrorCode &)
    {
        m_number.append(part.data(), part.size());
        return true;
    }

    bool on_int64(std::int64_t value, Text part, ErrorCode &)
    {
        if (m_member)
            m_member->integer = value;
        return writeNumber(JsonKind::Integer, part);
    }

    bool on_uint64(std::uint64_t, Text part, ErrorCode &)
    {
        return writeNumber(JsonKind::Number, part);
    }

    bool on_double(double, Text part, ErrorCode &)
    {
        return writeNumber(JsonKind::Number, part);
    }

    bool on_bool(bool value, ErrorCode &)
    {
        if (m_member)
            m_member->boolean = value;
        beginValue(JsonKind::Bool);
        write(value ? "true" : "false");
        return endValue();
    }

    bool on_null(ErrorCode &)
    {
        beginValue(JsonKind::Null);
        write("null");
        return endValue();
    }

    bool on_comment_part(Text, ErrorCode &)
    {
        return true;
    }

    bool on_comment(Text, ErrorCode &)
    {
        return true;
    }

    ModelBody body;
    bool isObject = false;
    std::string duplicate; ///< Name of a known member that is there twice.

private:
    /// Finds out what the member m_key of the body is.
    void beginMember()
    {
        m_isSkipped = std::ranges::find(systemMembers, m_key) != systemMembers.end();
        const auto *known = std::ranges::find(knownMembers, m_key, &KnownMember::name);
        if (known == knownMembers.end())
            return;
        m_member = &(body.*known->member);
        if (m_member->kind != JsonKind::Absent)
            duplicate = m_key;
    }

    void beginValue(JsonKind kind)
    {
        if (m_depth == 0)
            isObject = kind == JsonKind::Object;
        if (m_depth == 1 && m_member)
            m_member->kind = kind;
        separate();
    }

    /// Ends a value, and with it a member of the body.
    bool endValue()
    {
        if (m_depth == 1) {
            m_member = nullptr;
            m_isSkipped = false;
        }
        return true;
    }

    bool endContainer(std::string_view bracket)
    {
        write(bracket);
        --m_depth;
        return endValue();
    }

    bool writeNumber(JsonKind kind, Text part)
    {
        beginValue(kind);
        m_number.append(part.data(), part.size());
        write(m_number);
        m_number.clear();
        return endValue();
    }

    /// Writes a comma if the last thing that was written is a value.
    void separate()
    {
        constexpr std::string_view openings = "{[:";
        if (!body.text.empty() && openings.find(body.text.back()) == std::string_view::npos)
            write(",");
    }

    void writeEscaped(std::string_view part)
    {
        if (m_isSkipped)
            return;
        const auto quoted = json::serialize(json::string(Text(part.data(), part.size())));
        body.text.append(quoted, 1, quoted.size() - 2);
    }

    void write(std::string_view text)
    {
        if (!m_isSkipped)
            body.text.append(text);
    }

    std::size_t m_depth = 0;
    std::string m_key;
    std::string m_number;
    JsonMember *m_member = nullptr; ///< The known member whose value is read.
    bool m_isSkipped = false; ///< The value belongs to a member that is left out.
    bool m_isInString = false;
};
// NOLINTEND(readability-identifier-naming)

} // namespace

std::variant<ModelBody, std::string> readModelBody(std::string_view body)
{
    json::basic_parser<BodyHandler> parser(json::parse_options{}, body.size());
    ErrorCode error;
    const auto parsed = parser.write_some(false, body.data(), body.size(), error);
    if (!error && parsed < body.size())
        error = json::error::extra_data;
    if (error)
        return "the body is not JSON: " + error.message();
    auto &handler = parser.handler();
    if (!handler.isObject)
        return "the body must be a JSON object";
    if (!handler.duplicate.empty())
        return handler.duplicate + ": is given twice";
    return std::move(handler.body);
}

} // namespace Gypsumtally
