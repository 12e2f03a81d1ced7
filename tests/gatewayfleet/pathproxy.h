#pragma once

#include "common/clock.h"
#include "http/eventloop.h"
#include "http/message.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace Gypsumtally::GatewayFleet
{

/// The state of the path between a node and an upstream.
enum class PathState {
    Open,
    Silent, ///< Nothing gets through; what is sent meanwhile arrives when the path is open again.
    Reset, ///< Connections were reset, and new ones are reset at once.
    ClosedToNew, ///< Connections live on; new ones are reset at once.
};

/// The paths from nodes to upstreams, by the local address of a node's connections. Shared by all proxies.
class Paths
{
public:
    /// Sets the state of the path from @p node to @p upstream; an empty upstream means all of them.
    void set(const std::string &node, const std::string &upstream, PathState state)
    {
        m_states[{node, upstream}] = state;
    }

    PathState of(const std::string &node, const std::string &upstream) const
    {
        for (const auto &key : {std::pair{node, upstream}, std::pair{node, std::string{}}}) {
            if (const auto it = m_states.find(key); it != m_states.end() && it->second != PathState::Open)
                return it->second;
        }
        return PathState::Open;
    }

private:
    std::map<std::pair<std::string, std::string>, PathState> m_states;
};

/// Passes TCP connections on to an upstream and disturbs the paths of single nodes. Use only on the event loop's
/// thread.
class PathProxy
{
public:
    /// Takes bytes of answers that are passed on to the node at @p address.
    using AnswerObserver = std::function<void(const std::string &address, std::string_view bytes)>;

    /// Listens on a free loopback port and passes connections on to @p target, the process of @p upstream.
    PathProxy(Http::EventLoop &loop, const Paths &paths, const std::string &upstream, const Http::Endpoint &target,
              AnswerObserver onAnswer);

    /// Refuses new connections and breaks the others.
    ~PathProxy();
    PathProxy(const PathProxy &) = delete;
    PathProxy &operator=(const PathProxy &) = delete;

    Http::Endpoint endpoint() const;

    /// Withholds what the upstream sends for @p time.
    void silence(Duration time);

    /// Applies changed states of paths to the connections. Call it several times per second.
    void sweep();

private:
    struct Private;
    std::shared_ptr<Private> m_d;
};

} // namespace Gypsumtally::GatewayFleet
