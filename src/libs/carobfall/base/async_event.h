#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>

namespace carobfall {

/// Lets one coroutine wait for a change that another one on the same thread announces. An
/// announcement without a waiter is not kept: the waiter tests its condition before it waits.
class async_event {
public:
    explicit async_event(const boost::asio::any_io_executor& executor);

    void notify();
    boost::asio::awaitable<void> wait();
    /// False if `limit` passed without an announcement.
    boost::asio::awaitable<bool> wait_for(std::chrono::steady_clock::duration limit);

private:
    boost::asio::steady_timer timer_;
};

} // namespace carobfall
