#pragma once

#include "carobfall/base/event_log.h"
#include "carobfall/base/spawn.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>

namespace carobfall {

/// Serves one accepted connection.
using connection_handler =
    std::function<boost::asio::awaitable<void>(boost::asio::ip::tcp::socket)>;

/// Listens at `address` and serves each connection in a coroutine of its own, for as long as the
/// executor runs. `on_failure` is called if a connection can't be accepted, or if its coroutine
/// fails and the connection is closed. Throws `boost::system::system_error` if it can't listen.
void serve_connections(const boost::asio::any_io_executor& executor,
                       const boost::asio::ip::tcp::endpoint& address, connection_handler serve,
                       failure_handler on_failure);

/// Logs each failure as `connection_failed`.
[[nodiscard]] failure_handler log_connection_failures(event_log& log);

} // namespace carobfall
