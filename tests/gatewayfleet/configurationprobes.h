#pragma once

#include "common/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Gypsumtally::GatewayFleet
{

/// One process of a node, by the node's name and the start of the process.
using NodeProcess = std::pair<std::string, Instant>;

/// Checks the users' rules on desired states. Each version of the configuration has a route that no other one has, so
/// that the answer to a request on such a route shows whether that version was in force. Does no I/O.
class ConfigurationProbes
{
public:
    /// Time from the write of a version until it must be in force at nodes in touch.
    static constexpr Duration inForceTime = std::chrono::milliseconds{2500};
    /// Time from a request by which a node was seen to have a version until it must have it for later ones.
    static constexpr Duration rollbackSlack = std::chrono::milliseconds{250};

    /// Records that @p version was written at @p now.
    void onWritten(std::uint64_t version, Instant now);

    /// Records that the answer to a request on the route of @p version that was sent at @p sentAt has shown whether
    /// that was in force. @p isInTouch tells whether the node was in touch all the while.
    void onAnswer(const NodeProcess &process, std::uint64_t version, Instant sentAt, bool wasInForce, bool isInTouch,
                  Instant now);

    /// Returns the newest version that was written.
    std::uint64_t newest() const
    {
        return m_newest;
    }

    /// Returns the number of answers that were judged.
    unsigned judged() const
    {
        return m_judged;
    }

    const std::vector<std::string> &violations() const
    {
        return m_violations;
    }

private:
    struct Seen {
        std::uint64_t version = 0;
        Instant at{}; ///< Of the answer.
    };

    std::map<std::uint64_t, Instant> m_writtenAt;
    std::uint64_t m_newest = 0;
    std::map<NodeProcess, std::vector<Seen>> m_seen;
    std::vector<std::string> m_violations;
    unsigned m_judged = 0;
};

} // namespace Gypsumtally::GatewayFleet
