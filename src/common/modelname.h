#pragma once

#include <compare>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace Gypsumtally
{

/// A version of a LoRA adapter for a base model, written as `BASE/ADAPTER@VERSION` in the `model` field of a request.
struct AdapterVersion {
    std::string base;
    std::string adapter;
    std::string version;

    friend auto operator<=>(const AdapterVersion &, const AdapterVersion &) = default;
};

/// Parses `BASE/ADAPTER@VERSION`; returns std::nullopt unless all three parts are present and contain only letters,
/// digits and `.`, `_`, `-`. Thread-safe.
std::optional<AdapterVersion> parseModelName(std::string_view text);

/// Returns the form that parseModelName() parses. Thread-safe.
std::string toModelName(const AdapterVersion &model);

} // namespace Gypsumtally

template<>
struct std::hash<Gypsumtally::AdapterVersion> {
    std::size_t operator()(const Gypsumtally::AdapterVersion &model) const noexcept;
};
