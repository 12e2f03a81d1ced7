#include "http/eventloop.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <csignal>

namespace Gypsumtally::Http
{

namespace asio = boost::asio;

struct EventLoop::Private {
    asio::io_context context{1};
    asio::executor_work_guard<asio::io_context::executor_type> work = asio::make_work_guard(context);
    void awaitHangUp(std::function<void()> task)
    {
        hangUps->async_wait([this, task = std::move(task)](boost::system::error_code error, int) {
            if (error)
                return;
            task();
            awaitHangUp(task);
        });
    }

    std::unique_ptr<asio::signal_set> signals;
    std::unique_ptr<asio::signal_set> hangUps;
};

EventLoop::EventLoop()
    : m_d(std::make_unique<Private>())
{
}

EventLoop::~EventLoop() = default;

void EventLoop::run()
{
    m_d->context.run();
}

void EventLoop::stop()
{
    m_d->context.stop();
}

void EventLoop::post(std::function<void()> task)
{
    asio::post(m_d->context, std::move(task));
}

void EventLoop::runAfter(Duration delay, std::function<void()> task)
{
    auto timer = std::make_shared<asio::steady_timer>(m_d->context, delay);
    timer->async_wait([timer, task = std::move(task)](boost::system::error_code error) {
        if (!error)
            task();
    });
}

void EventLoop::onTerminate(std::function<void()> task)
{
    m_d->signals = std::make_unique<asio::signal_set>(m_d->context, SIGTERM, SIGINT);
    m_d->signals->async_wait([task = std::move(task)](boost::system::error_code error, int) {
        if (!error)
            task();
    });
}

void EventLoop::onHangUp(std::function<void()> task)
{
    m_d->hangUps = std::make_unique<asio::signal_set>(m_d->context, SIGHUP);
    m_d->awaitHangUp(std::move(task));
}

asio::io_context &EventLoop::context()
{
    return m_d->context;
}

} // namespace Gypsumtally::Http
