#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>

namespace carobfall {

/// Serves one accepted connection.
using connection_handler =
    std::function<boost::asio::awaitable<void>(boost::asio::ip::tcp::socket)>;

/// Called when a connection could not be accepted.
using accept_error_handler = std::function<void(const boost::system::error_code&)>;

/// Listens at `address` and serves each connection in a coroutine of its own, for as long as the
/// executor runs. Throws `boost::system::system_error` if it can't listen.
void serve_connections(const boost::asio::any_io_executor& executor,
                       const boost::asio::ip::tcp::endpoint& address, connection_handler serve,
                       accept_error_handler on_error);

} // namespace carobfall
