#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <utility>

namespace Gypsumtally::Relay::Detail
{

/// Calls @p task of @p owner once @p socket is ready for @p what. Does nothing if a wait is already pending, which the
/// flag @p isWaiting records. If the wait fails, @p task is not called. Use only on the event loop's thread.
template<typename Owner>
void waitFor(boost::asio::ip::tcp::socket &socket, boost::asio::socket_base::wait_type what,
             std::shared_ptr<Owner> owner, bool Owner::*isWaiting, void (Owner::*task)())
{
    if (std::exchange(owner.get()->*isWaiting, true))
        return;
    socket.async_wait(what, [owner, isWaiting, task](boost::system::error_code error) {
        owner.get()->*isWaiting = false;
        if (!error)
            (owner.get()->*task)();
    });
}

} // namespace Gypsumtally::Relay::Detail
