#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>

namespace carobfall {

/// Condition variable for the coroutines of one thread. A notification without a waiter is lost, so
/// a coroutine has to check its condition before it waits.
class async_event {
public:
    explicit async_event(const boost::asio::any_io_executor& executor);

    void notify();
    boost::asio::awaitable<void> wait();
    /// Returns false if `timeout` passes without a notification.
    boost::asio::awaitable<bool> wait_for(std::chrono::steady_clock::duration timeout);

private:
    boost::asio::steady_timer timer_;
};

} // namespace carobfall
