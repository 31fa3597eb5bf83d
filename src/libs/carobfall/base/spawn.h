#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string_view>

namespace carobfall {

/// Receives the text of an exception.
using failure_handler = std::function<void(std::string_view error)>;

/// Starts a coroutine that nobody waits for. An exception that leaves it also leaves the `run` of
/// the event loop and so ends the process: without the coroutine it would go on with a part of its
/// work missing.
void spawn(const boost::asio::any_io_executor& executor, boost::asio::awaitable<void> coroutine);

/// The same for the coroutine of one connection, whose failure concerns no other.
void spawn(const boost::asio::any_io_executor& executor, boost::asio::awaitable<void> coroutine,
           failure_handler on_failure);

} // namespace carobfall
