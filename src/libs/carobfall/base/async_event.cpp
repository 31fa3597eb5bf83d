#include "carobfall/base/async_event.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace carobfall {

namespace asio = boost::asio;

async_event::async_event(const asio::any_io_executor& executor) : timer_(executor) {}

void async_event::notify()
{
    timer_.cancel();
}

asio::awaitable<void> async_event::wait()
{
    timer_.expires_at(asio::steady_timer::time_point::max());
    boost::system::error_code cancelled;
    co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
}

asio::awaitable<bool> async_event::wait_for(std::chrono::steady_clock::duration timeout)
{
    timer_.expires_after(timeout);
    boost::system::error_code cancelled;
    co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
    co_return cancelled == asio::error::operation_aborted;
}

} // namespace carobfall
