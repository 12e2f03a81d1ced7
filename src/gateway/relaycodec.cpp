#include "gateway/relaycodec.h"

#include <boost/algorithm/hex.hpp>
#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <iterator>
#include <limits>
#include <string_view>

namespace Gypsumtally::Gateway
{

namespace
{

constexpr std::string_view prefix = "Gypsumtally-"; ///< Of all headers that are about relaying.
constexpr std::string_view originHeader = "Gypsumtally-Relayed-By";
constexpr std::string_view timeLeftHeader = "Gypsumtally-Time-Left-Us";
constexpr std::string_view timeSpentHeader = "Gypsumtally-Time-Spent-Us";
constexpr std::string_view sendsHeader = "Gypsumtally-Sends";
constexpr std::string_view runsHeader = "Gypsumtally-Runs";
constexpr std::string_view attemptsHeader = "Gypsumtally-Attempts";
constexpr std::string_view paidHeader = "Gypsumtally-Paid";
constexpr std::string_view answeringHeader = "Gypsumtally-Answering";
constexpr std::string_view lastEventHeader = "Gypsumtally-Last-Event";
constexpr std::string_view streamVersionHeader = "Gypsumtally-Software"; ///< In hexadecimal, as it may be any text.
constexpr std::string_view configurationHeader = "Gypsumtally-Configuration";
constexpr std::string_view verdictHeader = "Gypsumtally-Verdict";
constexpr std::string_view mayTryAnotherHeader = "Gypsumtally-Try-Another";

constexpr std::int64_t maxTimeUs = 3'600'000'000; ///< Longer than any timeout.
constexpr unsigned maxSends = 10'000; ///< More than any request can need.

/// Headers that frame one connection's messages.
constexpr std::array<std::string_view, 5> framingHeaders{"Content-Length", "Transfer-Encoding", "Connection", "Expect",
                                                         "Keep-Alive"};

bool isRelayHeader(std::string_view name)
{
    return name.size() >= prefix.size() && boost::beast::iequals(name.substr(0, prefix.size()), prefix);
}

bool isFramingHeader(std::string_view name)
{
    return std::ranges::any_of(framingHeaders,
                               [&](std::string_view each) { return boost::beast::iequals(name, each); });
}

std::string_view trimmed(std::string_view text)
{
    text.remove_prefix(std::min(text.find_first_not_of(" \t"), text.size()));
    return text.substr(0, text.find_last_not_of(" \t") + 1);
}

/// Returns the caller's Connection header without the options that would end the connection between the nodes. The peer
/// drops the headers that it lists when it forwards the request.
std::string connectionOptions(std::string_view list)
{
    std::string options;
    while (!list.empty()) {
        const auto comma = std::min(list.find(','), list.size());
        const auto option = trimmed(list.substr(0, comma));
        list.remove_prefix(std::min(comma + 1, list.size()));
        if (!option.empty() && !boost::beast::iequals(option, "close") && !boost::beast::iequals(option, "keep-alive")
            && !boost::beast::iequals(option, "upgrade"))
            options.append(options.empty() ? "" : ", ").append(option);
    }
    return options;
}

template<typename Number>
std::optional<Number> numberOf(std::string_view text, Number least, Number most)
{
    Number number{};
    const auto *const last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, number);
    if (text.empty() || error != std::errc{} || end != last || number < least || number > most)
        return std::nullopt;
    return number;
}

std::string hexOf(std::string_view text)
{
    std::string digits;
    boost::algorithm::hex_lower(text, std::back_inserter(digits));
    return digits;
}

std::optional<std::string> textOfHex(std::string_view digits)
{
    try {
        std::string text;
        boost::algorithm::unhex(digits, std::back_inserter(text));
        return text;
    } catch (const boost::algorithm::hex_decode_error &) {
        return std::nullopt;
    }
}

void addCounts(Http::Headers &headers, unsigned sends, unsigned runs)
{
    headers.add(std::string(sendsHeader), std::to_string(sends));
    headers.add(std::string(runsHeader), std::to_string(runs));
}

} // namespace

Http::Request writeRelayedRequest(const Http::Request &request, const RelayedCall &call)
{
    Http::Request relayed{request.method, request.target, {}, request.body};
    for (const auto &[name, value] : request.headers) {
        if (!isRelayHeader(name) && !isFramingHeader(name))
            relayed.headers.add(name, value);
    }
    if (auto options = connectionOptions(request.headers.get("Connection")); !options.empty())
        relayed.headers.add("Connection", std::move(options));
    relayed.headers.add(std::string(originHeader), call.origin);
    relayed.headers.add(std::string(timeLeftHeader), std::to_string(std::max<std::int64_t>(1, call.timeLeft.count())));
    relayed.headers.add(std::string(timeSpentHeader),
                        std::to_string(std::max<std::int64_t>(0, call.timeSpent.count())));
    addCounts(relayed.headers, call.sends, call.runs);
    relayed.headers.add(std::string(attemptsHeader), std::to_string(call.attempts));
    relayed.headers.add(std::string(configurationHeader), std::to_string(call.configuration));
    if (call.isPaid)
        relayed.headers.add(std::string(paidHeader), "1");
    if (call.isAnswering)
        relayed.headers.add(std::string(answeringHeader), "1");
    if (call.lastEvent)
        relayed.headers.add(std::string(lastEventHeader), std::to_string(*call.lastEvent));
    if (call.streamVersion)
        relayed.headers.add(std::string(streamVersionHeader), hexOf(*call.streamVersion));
    return relayed;
}

std::optional<RelayedCall> readRelayedCall(const Http::Headers &headers)
{
    const auto left = numberOf<std::int64_t>(headers.get(timeLeftHeader), 1, maxTimeUs);
    const auto spent = numberOf<std::int64_t>(headers.get(timeSpentHeader), 0, maxTimeUs);
    const auto sends = numberOf<unsigned>(headers.get(sendsHeader), 0, maxSends);
    const auto runs = numberOf<unsigned>(headers.get(runsHeader), 0, maxSends);
    const auto attempts = numberOf<unsigned>(headers.get(attemptsHeader), 1, maxSends);
    const auto configuration
        = numberOf<std::uint64_t>(headers.get(configurationHeader), 0, std::numeric_limits<std::uint64_t>::max());
    RelayedCall call;
    call.origin = std::string(headers.get(originHeader));
    if (call.origin.empty() || !left || !spent || !sends || !runs || !attempts || !configuration || *runs > *sends)
        return std::nullopt;
    call.timeLeft = Duration{*left};
    call.timeSpent = Duration{*spent};
    call.sends = *sends;
    call.runs = *runs;
    call.attempts = *attempts;
    call.configuration = *configuration;
    call.isPaid = headers.contains(paidHeader);
    call.isAnswering = headers.contains(answeringHeader);
    if (headers.contains(lastEventHeader)) {
        call.lastEvent
            = numberOf<std::uint64_t>(headers.get(lastEventHeader), 0, std::numeric_limits<std::uint64_t>::max());
        if (!call.lastEvent)
            return std::nullopt;
    }
    if (headers.contains(streamVersionHeader)) {
        call.streamVersion = textOfHex(headers.get(streamVersionHeader));
        if (!call.streamVersion)
            return std::nullopt;
    }
    return call;
}

Http::Headers writeRelayedAnswer(const Http::Headers &forCaller, const RelayedAnswer &answer)
{
    auto headers = withoutRelayHeaders(forCaller);
    headers.add(std::string(verdictHeader), std::string(nameOf(answer.verdict)));
    addCounts(headers, answer.sends, answer.runs);
    headers.add(std::string(streamVersionHeader), hexOf(answer.streamVersion));
    if (answer.mayTryAnother)
        headers.add(std::string(mayTryAnotherHeader), "1");
    return headers;
}

std::optional<RelayedAnswer> readRelayedAnswer(const Http::Headers &headers)
{
    const auto verdict = valueOf<Verdict>(headers.get(verdictHeader));
    const auto sends = numberOf<unsigned>(headers.get(sendsHeader), 0, maxSends);
    const auto runs = numberOf<unsigned>(headers.get(runsHeader), 0, maxSends);
    auto version = textOfHex(headers.get(streamVersionHeader));
    if (!verdict || !sends || !runs || !version || !headers.contains(streamVersionHeader))
        return std::nullopt;
    return RelayedAnswer{*verdict, *sends, *runs, std::move(*version), headers.contains(mayTryAnotherHeader)};
}

Http::Headers withoutRelayHeaders(Http::Headers headers)
{
    if (std::ranges::none_of(headers, [](const auto &field) { return isRelayHeader(field.first); }))
        return headers;
    Http::Headers others;
    for (const auto &[name, value] : headers) {
        if (!isRelayHeader(name))
            others.add(name, value);
    }
    return others;
}

Http::Headers callerHeadersOf(const Http::Headers &headers)
{
    Http::Headers others;
    for (const auto &[name, value] : headers) {
        if (!isRelayHeader(name) && !isFramingHeader(name))
            others.add(name, value);
    }
    return others;
}

} // namespace Gypsumtally::Gateway
