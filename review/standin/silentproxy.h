#pragma once

#include "http/eventloop.h"
#include "http/message.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Gypsumtally::Review
{

/// Passes TCP connections on to a server. Connections that are open at one moment can be made to go silent: they stay
/// open, and nothing passes any more in either direction. Use only on the event loop's thread.
class SilentProxy
{
public:
    /// Listens on a free loopback port and passes connections on to @p target.
    SilentProxy(Http::EventLoop &loop, const Http::Endpoint &target);
    ~SilentProxy();
    SilentProxy(const SilentProxy &) = delete;
    SilentProxy &operator=(const SilentProxy &) = delete;

    Http::Endpoint endpoint() const;

    /// Makes the open connections go silent for good. New ones work.
    void silenceOpen();

    /// Calls @p onRequest with each piece of a request that is passed on.
    void onRequest(std::function<void(std::string_view)> onRequest);

    /// Makes the next connection on which a request that contains @p text is sent go silent for good, as soon as the
    /// request has been passed on, and calls @p onSilent then.
    void silenceNext(const std::string &text, std::function<void()> onSilent);

private:
    struct Private;
    std::shared_ptr<Private> m_d;
};

} // namespace Gypsumtally::Review
