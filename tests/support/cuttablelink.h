#pragma once

#include "http/message.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Gypsumtally::Testing
{

/// What a CuttableLink does with connections.
enum class LinkState {
    Open,
    RefusesNew, ///< Open connections live on.
    Reset, ///< Open connections are reset, and new ones are refused.
    Hangs, ///< Open connections carry nothing, and new ones are not established.
};

/// A TCP proxy on the loopback interface that stands for the path between two machines.
class CuttableLink
{
public:
    /// Listens on a free port and passes each connection on to @p target.
    CuttableLink(boost::asio::io_context &context, const Http::Endpoint &target)
        : m_context(context)
        , m_target(boost::asio::ip::make_address(target.address), target.port)
        , m_reservation(context)
        , m_acceptor(context)
    {
        bind(m_reservation);
        m_port = m_reservation.local_endpoint().port();
        listen(backlog);
        accept();
    }

    Http::Endpoint endpoint() const
    {
        return {"127.0.0.1", m_port, false};
    }

    LinkState state() const
    {
        return m_state;
    }

    void set(LinkState state)
    {
        m_state = state;
        m_acceptor.close();
        m_fillers.clear();
        if (state == LinkState::Reset)
            resetAll();
        if (state == LinkState::Hangs)
            fillBacklog();
        if (state != LinkState::Open)
            return;
        listen(backlog);
        accept();
        for (const auto &pair : m_pairs) {
            if (const auto open = pair.lock())
                resume(open);
        }
    }

private:
    using tcp = boost::asio::ip::tcp;
    using Error = boost::system::error_code;
    static constexpr int backlog = 64;
    static constexpr int fillers = 4; ///< More connections than a backlog of 0 holds.

    struct Direction {
        std::array<char, 16 * 1024> bytes{};
        std::size_t held = 0; ///< Bytes that were read while the link hung.
    };

    struct Pair {
        Pair(tcp::socket socket, boost::asio::io_context &context)
            : sockets{std::move(socket), tcp::socket(context)}
        {
        }

        std::array<tcp::socket, 2> sockets;
        std::array<Direction, 2> directions;
    };
    using PairPtr = std::shared_ptr<Pair>;

    template<typename Socket>
    void bind(Socket &socket) const
    {
        socket.open(tcp::v4());
        socket.set_option(tcp::acceptor::reuse_address(true));
        socket.bind({boost::asio::ip::address_v4::loopback(), m_port});
    }

    void listen(int connections)
    {
        bind(m_acceptor);
        m_acceptor.listen(connections);
    }

    /// Listens without accepting, so that the handshake of a further connection is not completed.
    void fillBacklog()
    {
        listen(0);
        for (int i = 0; i < fillers; ++i) {
            m_fillers.push_back(std::make_unique<tcp::socket>(m_context));
            m_fillers.back()->async_connect({boost::asio::ip::address_v4::loopback(), m_port}, [](Error) {});
        }
    }

    void accept()
    {
        m_acceptor.async_accept([this](Error error, tcp::socket socket) {
            if (error)
                return;
            const auto pair = std::make_shared<Pair>(std::move(socket), m_context);
            Error ignored;
            pair->sockets[0].set_option(tcp::no_delay(true), ignored);
            pair->sockets[1].connect(m_target, ignored);
            pair->sockets[1].set_option(tcp::no_delay(true), ignored);
            m_pairs.push_back(pair);
            for (std::size_t from = 0; from < 2; ++from)
                read(pair, from);
            accept();
        });
    }

    void read(const PairPtr &pair, std::size_t from)
    {
        pair->sockets[from].async_read_some(boost::asio::buffer(pair->directions[from].bytes),
                                            [this, pair, from](Error error, std::size_t got) {
                                                pair->directions[from].held = got;
                                                if (error == boost::asio::error::operation_aborted)
                                                    return;
                                                if (error)
                                                    return passOnEnd(pair, from, error);
                                                if (m_state != LinkState::Hangs)
                                                    write(pair, from);
                                            });
    }

    void write(const PairPtr &pair, std::size_t from)
    {
        auto &direction = pair->directions[from];
        const auto bytes = boost::asio::buffer(direction.bytes.data(), std::exchange(direction.held, 0));
        boost::asio::async_write(pair->sockets[1 - from], bytes, [this, pair, from](Error error, std::size_t) {
            if (!error)
                read(pair, from);
        });
    }

    void resume(const PairPtr &pair)
    {
        for (std::size_t from = 0; from < 2; ++from) {
            if (pair->directions[from].held > 0)
                write(pair, from);
        }
    }

    /// Passes on the end of one side's bytes, unless the link hangs.
    void passOnEnd(const PairPtr &pair, std::size_t from, Error error)
    {
        if (m_state == LinkState::Hangs)
            return;
        if (error == boost::asio::error::eof) {
            Error ignored;
            pair->sockets[1 - from].shutdown(tcp::socket::shutdown_send, ignored);
        } else {
            reset(*pair);
        }
    }

    void resetAll()
    {
        for (const auto &pair : std::exchange(m_pairs, {})) {
            if (const auto open = pair.lock())
                reset(*open);
        }
    }

    static void reset(Pair &pair)
    {
        for (auto &socket : pair.sockets) {
            Error ignored;
            socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
            socket.close(ignored);
        }
    }

    boost::asio::io_context &m_context;
    tcp::endpoint m_target;
    tcp::socket m_reservation; ///< Keeps the port while nothing listens.
    tcp::acceptor m_acceptor;
    std::uint16_t m_port = 0;
    LinkState m_state = LinkState::Open;
    std::vector<std::weak_ptr<Pair>> m_pairs;
    std::vector<std::unique_ptr<tcp::socket>> m_fillers;
};

} // namespace Gypsumtally::Testing
