#include "common/modelname.h"

#include <algorithm>

namespace Gypsumtally
{

namespace
{

bool isValidPart(std::string_view text)
{
    const auto isAllowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' || c == '_'
               || c == '-';
    };
    return !text.empty() && std::ranges::all_of(text, isAllowed);
}

} // namespace

std::optional<AdapterVersion> parseModelName(std::string_view text)
{
    const auto slash = text.find('/');
    const auto at = text.rfind('@');
    if (slash == std::string_view::npos || at == std::string_view::npos || at < slash)
        return std::nullopt;
    const auto base = text.substr(0, slash);
    const auto adapter = text.substr(slash + 1, at - slash - 1);
    const auto version = text.substr(at + 1);
    if (!isValidPart(base) || !isValidPart(adapter) || !isValidPart(version))
        return std::nullopt;
    return AdapterVersion{std::string(base), std::string(adapter), std::string(version)};
}

std::string toModelName(const AdapterVersion &model)
{
    return model.base + '/' + model.adapter + '@' + model.version;
}

} // namespace Gypsumtally

std::size_t std::hash<Gypsumtally::AdapterVersion>::operator()(const Gypsumtally::AdapterVersion &model) const noexcept
{
    constexpr std::size_t prime = 0x100000001b3ULL;
    const std::hash<std::string> hash;
    return (hash(model.base) * prime ^ hash(model.adapter)) * prime ^ hash(model.version);
}
