#pragma once

#include "common/clock.h"

#include <optional>
#include <string>
#include <string_view>

namespace Gypsumtally
{

/// Parses a non-negative whole number with a unit: `250us`, `20ms`, `5s`, `10m`, `2h`, `3d`. Returns std::nullopt for
/// any other text and for values that do not fit a Duration. Thread-safe.
std::optional<Duration> parseDuration(std::string_view text);

/// Returns the duration in the form that parseDuration() parses, in the largest unit that is exact. Thread-safe.
std::string toString(Duration duration);

} // namespace Gypsumtally
