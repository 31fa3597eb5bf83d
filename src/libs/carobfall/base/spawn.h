#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string_view>

namespace carobfall {

/// Called with the message of an exception.
using failure_handler = std::function<void(std::string_view error)>;

/// Starts a detached coroutine. An exception thrown by it propagates out of the `run` of the event
/// loop and ends the process, which would otherwise continue without a part of its work.
void spawn(const boost::asio::any_io_executor& executor, boost::asio::awaitable<void> coroutine);

/// Starts a detached coroutine and passes its exception to `on_failure`. Used for connections: the
/// failure of one doesn't affect the others.
void spawn(const boost::asio::any_io_executor& executor, boost::asio::awaitable<void> coroutine,
           failure_handler on_failure);

} // namespace carobfall
