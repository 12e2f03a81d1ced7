#include "yaml/duration.h"

#include <array>
#include <charconv>
#include <limits>

namespace Gypsumtally
{

namespace
{

struct Unit {
    std::string_view suffix;
    Duration length;
};

constexpr std::array<Unit, 6> units{{
    {"d", std::chrono::hours{24}},
    {"h", std::chrono::hours{1}},
    {"m", std::chrono::minutes{1}},
    {"s", std::chrono::seconds{1}},
    {"ms", std::chrono::milliseconds{1}},
    {"us", std::chrono::microseconds{1}},
}};

} // namespace

std::optional<Duration> parseDuration(std::string_view text)
{
    std::int64_t count = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), count);
    if (error != std::errc{} || count < 0)
        return std::nullopt;
    const auto suffix = text.substr(static_cast<std::size_t>(end - text.data()));
    for (const auto &unit : units) {
        if (unit.suffix != suffix)
            continue;
        if (count > std::numeric_limits<std::int64_t>::max() / unit.length.count())
            return std::nullopt;
        return unit.length * count;
    }
    return std::nullopt;
}

std::string toString(Duration duration)
{
    if (duration == Duration::zero())
        return "0s";
    for (const auto &unit : units) {
        if (duration.count() % unit.length.count() == 0)
            return std::to_string(duration / unit.length) + std::string(unit.suffix);
    }
    return std::to_string(duration.count()) + "us";
}

} // namespace Gypsumtally
