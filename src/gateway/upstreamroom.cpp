#include "gateway/upstreamroom.h"

#include <xxhash.h>

#include <algorithm>

namespace Gypsumtally::Gateway
{

namespace
{

/// Time after a refusal during which no place is lent.
constexpr Duration cautionTime = std::chrono::seconds{10};
/// Time after which a lower room is presumed to have grown by one request.
constexpr Duration regrowthTime = std::chrono::seconds{8};

/// Returns the number of places that are not lent, for the nodes to which they belong.
unsigned placesLeft(unsigned room)
{
    return 1 + room / 2;
}

} // namespace

unsigned PlaceDealer::ownBefore(unsigned place) const
{
    return place > m_rank.index ? (place - m_rank.index - 1) / m_rank.count + 1 : 0;
}

unsigned PlaceDealer::deal(const Upstream &upstream, Instant now)
{
    const auto first = m_dealt;
    m_dealt += std::max(1U, upstream.record.slots);
    return ownBefore(first + roomOf(upstream, now)) - ownBefore(first);
}

unsigned roomOf(const Upstream &upstream, Instant now)
{
    const auto slots = std::max(1U, upstream.record.slots);
    if (upstream.refusedAt == Instant{})
        return slots;
    const auto regrown = std::max<Duration::rep>(0, (now - upstream.refusedAt) / regrowthTime);
    return static_cast<unsigned>(std::min<Duration::rep>(slots, upstream.roomAtRefusal + regrown));
}

RoomState roomFor(const Upstream &upstream, const std::string &node, unsigned ownPlaces, unsigned refusalsPerSecond,
                  Instant now)
{
    const auto room = roomOf(upstream, now);
    if (upstream.inFlight() >= room)
        return RoomState::Full;
    if (upstream.ownInFlight < ownPlaces)
        return RoomState::Own;
    const bool isCautious = upstream.refusedAt != Instant{} && now - upstream.refusedAt < cautionTime;
    if (isCautious || refusalsPerSecond < 1)
        return RoomState::Full;
    const auto announced
        = upstream.sends.announcedAfter(now) + upstream.sends.announcedByOthers(node, now - announcementDelay, now);
    return upstream.inFlight() + announced + placesLeft(room) < room ? RoomState::Lent : RoomState::Full;
}

bool isStillLent(const Upstream &upstream, const std::string &node, Instant now)
{
    const auto seed = XXH3_64bits(upstream.record.instance.data(), upstream.record.instance.size());
    const auto before = upstream.sends.announcedBefore(node, seed, now - announcementDelay);
    const auto room = roomOf(upstream, now);
    return upstream.inFlight() + before + placesLeft(room) < room;
}

void noteFull(Upstream &upstream, unsigned inFlight, Instant now)
{
    // Requests whose reports are on their way are not among those known.
    const auto room = roomOf(upstream, now);
    upstream.roomAtRefusal = std::clamp((room + inFlight) / 2, 1U, std::max(2U, room) - 1);
    upstream.refusedAt = now;
}

} // namespace Gypsumtally::Gateway
