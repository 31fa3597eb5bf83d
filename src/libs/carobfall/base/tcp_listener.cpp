#include "carobfall/base/tcp_listener.h"

#include "carobfall/base/boot_clock.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace carobfall {

namespace asio = boost::asio;

namespace {

// Enough for a burst of connections while the event loop is busy.
constexpr int listen_backlog = 1024;
// Delay after a failed accept. Without free file descriptors the next one would fail at once.
constexpr absl::Duration accept_retry_delay = absl::Milliseconds(20);

asio::awaitable<void> accept_connections(asio::ip::tcp::acceptor acceptor, connection_handler serve,
                                         failure_handler on_failure)
{
    const asio::any_io_executor executor = acceptor.get_executor();
    while (true) {
        boost::system::error_code error;
        asio::ip::tcp::socket socket =
            co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            on_failure(error.message());
            asio::steady_timer pause(executor, timer_duration(accept_retry_delay));
            co_await pause.async_wait(asio::use_awaitable);
            continue;
        }
        spawn(executor, serve(std::move(socket)), on_failure);
    }
}

} // namespace

void serve_connections(const asio::any_io_executor& executor,
                       const asio::ip::tcp::endpoint& address, connection_handler serve,
                       failure_handler on_failure)
{
    asio::ip::tcp::acceptor acceptor(executor);
    acceptor.open(address.protocol());
    acceptor.set_option(asio::socket_base::reuse_address(true));
    acceptor.bind(address);
    acceptor.listen(listen_backlog);
    spawn(executor,
          accept_connections(std::move(acceptor), std::move(serve), std::move(on_failure)));
}

failure_handler log_connection_failures(event_log& log)
{
    return [&log](std::string_view error) {
        log.write(log_fields("connection_failed").add("error", error), boot_now());
    };
}

} // namespace carobfall
