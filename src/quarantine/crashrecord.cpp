#include "quarantine/crashrecord.h"

#include "common/jsonfields.h"

#include <boost/json.hpp>

#include <charconv>

namespace Gypsumtally
{
namespace
{

namespace json = boost::json;

constexpr int hexadecimal = 16;
constexpr std::size_t fingerprintDigits = 16;

std::optional<CrashSuspect> decodeSuspect(const json::value &value)
{
    const auto *object = value.if_object();
    if (!object)
        return std::nullopt;
    const auto fingerprint = parseFingerprint(textAt(*object, "fingerprint"));
    const auto *rank = object->if_contains("rank");
    const auto *completed = object->if_contains("completed");
    if (!fingerprint || !rank || !rank->is_int64() || !completed || !completed->is_bool())
        return std::nullopt;
    return CrashSuspect{*fingerprint, static_cast<std::uint32_t>(rank->get_int64()), completed->get_bool()};
}

} // namespace

std::string toText(Fingerprint fingerprint)
{
    std::string text(fingerprintDigits, '0');
    char digits[fingerprintDigits];
    const auto end = std::to_chars(digits, digits + fingerprintDigits, fingerprint, hexadecimal).ptr;
    return text.replace(fingerprintDigits - (end - digits), end - digits, digits, end - digits);
}

std::optional<Fingerprint> parseFingerprint(std::string_view text)
{
    Fingerprint fingerprint = 0;
    const auto *const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, fingerprint, hexadecimal);
    if (text.size() != fingerprintDigits || parsed.ec != std::errc{} || parsed.ptr != end)
        return std::nullopt;
    return fingerprint;
}

std::string encodeCrash(const CrashRecord &record)
{
    json::array suspects;
    for (const auto &suspect : record.suspects) {
        suspects.push_back({{"fingerprint", toText(suspect.fingerprint)},
                            {"rank", suspect.rank},
                            {"completed", suspect.hasCompleted}});
    }
    return json::serialize(json::object{
        {"upstream", record.upstream.value},
        {"failure_domain", record.failureDomain.value},
        {"recorder", record.recorder.value},
        {"cause", nameOf(record.cause)},
        {"suspects", std::move(suspects)},
    });
}

std::optional<CrashRecord> decodeCrash(std::string_view text)
{
    const auto object = parseObject(text);
    if (!object)
        return std::nullopt;
    const auto cause = valueOf<CrashCause>(textAt(*object, "cause"));
    const auto *suspects = arrayAt(*object, "suspects");
    if (!cause || !suspects)
        return std::nullopt;
    CrashRecord record{UpstreamId{textAt(*object, "upstream")},
                       FailureDomainId{textAt(*object, "failure_domain")},
                       Incarnation{textAt(*object, "recorder")},
                       *cause,
                       {}};
    for (const auto &value : *suspects) {
        const auto suspect = decodeSuspect(value);
        if (!suspect)
            return std::nullopt;
        record.suspects.push_back(*suspect);
    }
    return record;
}

std::string encodeQuarantine(const QuarantineRecord &record)
{
    json::array upstreams;
    for (const auto &upstream : record.upstreams)
        upstreams.emplace_back(upstream.value);
    return json::serialize(json::object{{"state", nameOf(record.state)}, {"upstreams", std::move(upstreams)}});
}

std::optional<QuarantineRecord> decodeQuarantine(std::string_view text)
{
    const auto object = parseObject(text);
    if (!object)
        return std::nullopt;
    const auto state = valueOf<QuarantineState>(textAt(*object, "state"));
    const auto *upstreams = arrayAt(*object, "upstreams");
    if (!state || !upstreams)
        return std::nullopt;
    QuarantineRecord record{*state, {}};
    for (const auto &value : *upstreams) {
        if (const auto *name = value.if_string())
            record.upstreams.push_back(UpstreamId{std::string{*name}});
    }
    return record;
}

} // namespace Gypsumtally
