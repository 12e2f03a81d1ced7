#include "configuration/servicedeclaration.h"

#include <charconv>

namespace Gypsumtally
{

namespace
{

std::optional<std::string> decodePercent(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            decoded += text[i];
            continue;
        }
        unsigned value = 0;
        if (i + 2 >= text.size())
            return std::nullopt;
        const auto *digits = text.data() + i + 1;
        const auto [end, error] = std::from_chars(digits, digits + 2, value, 16);
        if (error != std::errc{} || end != digits + 2)
            return std::nullopt;
        decoded += static_cast<char>(value);
        i += 2;
    }
    return decoded;
}

bool coversPath(std::string_view prefix, std::string_view path)
{
    while (prefix.ends_with('/'))
        prefix.remove_suffix(1);
    return path.starts_with(prefix) && (path.size() == prefix.size() || path[prefix.size()] == '/');
}

bool takesPrecedence(const ServiceCallRule &rule, const ServiceCallRule *other)
{
    if (other == nullptr || rule.pathPrefix.size() != other->pathPrefix.size())
        return other == nullptr || rule.pathPrefix.size() > other->pathPrefix.size();
    return other->method == "*";
}

} // namespace

std::optional<std::string> normalisePath(std::string_view target)
{
    const auto decoded = decodePercent(target.substr(0, target.find_first_of("?#")));
    if (!decoded || decoded->find_first_of(std::string_view{"%\\;\0", 4}) != std::string::npos)
        return std::nullopt;
    std::string path;
    std::size_t at = 0;
    while (at < decoded->size()) {
        const auto end = std::min(decoded->find('/', at), decoded->size());
        const auto segment = std::string_view(*decoded).substr(at, end - at);
        if (segment == "..")
            path.erase(path.empty() ? 0 : path.rfind('/'));
        else if (!segment.empty() && segment != ".")
            path.append("/").append(segment);
        at = end + 1;
    }
    return path.empty() ? "/" : path;
}

bool ServiceDeclaration::isIdempotent(std::string_view method, std::string_view target) const
{
    const auto path = normalisePath(target);
    if (!path)
        return false;
    const ServiceCallRule *best = nullptr;
    for (const auto &rule : calls) {
        const bool matches = (rule.method == "*" || rule.method == method) && coversPath(rule.pathPrefix, *path);
        if (matches && takesPrecedence(rule, best))
            best = &rule;
    }
    return best != nullptr && best->idempotent;
}

} // namespace Gypsumtally
