#include "carobfall/base/async_http_server.h"

#include "carobfall/base/boot_clock.h"
#include "carobfall/base/tcp_listener.h"

#include <absl/cleanup/cleanup.h>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <sys/socket.h>

#include <memory>
#include <optional>
#include <utility>

namespace carobfall {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

// Large enough to read most requests of callers at once.
constexpr std::size_t first_read_bytes = 4096;
constexpr absl::Duration write_timeout = absl::Seconds(5);

bool is_closed_by_peer(asio::ip::tcp::socket& socket)
{
    char byte = 0;
    const ssize_t count = recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

/// Detects that the caller closes its connection while its request is handled.
asio::awaitable<void> watch_caller(std::shared_ptr<beast::tcp_stream> stream,
                                   std::shared_ptr<caller_watch> watch)
{
    boost::system::error_code error;
    co_await stream->socket().async_wait(asio::ip::tcp::socket::wait_read,
                                         asio::redirect_error(asio::use_awaitable, error));
    if (!error && is_closed_by_peer(stream->socket())) {
        watch->closed = true;
        if (watch->on_closed) {
            watch->on_closed();
        }
    }
}

/// Response status for a malformed request or one over a limit; nullopt if the connection ended or
/// failed.
std::optional<unsigned> status_of(const boost::system::error_code& error)
{
    if (error == http::error::body_limit) {
        return 413;
    }
    if (error == http::error::header_limit || error == http::error::buffer_overflow) {
        return 431;
    }
    if (error.category() == make_error_code(http::error::bad_method).category() &&
        error != http::error::end_of_stream && error != http::error::partial_message) {
        return 400;
    }
    return std::nullopt;
}

/// Pass a variable as `response`: GCC 12 destroys a braced temporary in a co_await expression
/// twice.
asio::awaitable<bool> write_response(beast::tcp_stream& stream, async_http_response response,
                                     bool keep_alive)
{
    http::response<http::string_body> message(static_cast<http::status>(response.status), 11);
    if (!response.body.empty()) {
        message.set(http::field::content_type, response.content_type);
        message.body() = std::move(response.body);
    }
    if (!response.retry_after.empty()) {
        message.set(http::field::retry_after, response.retry_after);
    }
    message.keep_alive(keep_alive);
    message.prepare_payload();
    stream.expires_after(timer_duration(write_timeout));
    boost::system::error_code error;
    co_await http::async_write(stream, message, asio::redirect_error(asio::use_awaitable, error));
    co_return !error;
}

} // namespace

async_http_server::async_http_server(const asio::any_io_executor& executor,
                                     async_http_handler handler, event_log& log)
    : executor_(executor), handler_(std::move(handler)), log_(log)
{}

void async_http_server::start(const asio::ip::tcp::endpoint& address)
{
    serve_connections(
        executor_, address,
        [this](asio::ip::tcp::socket socket) -> asio::awaitable<void> {
            ++connections_;
            const absl::Cleanup closed = [this] { --connections_; };
            co_await serve(std::move(socket));
        },
        log_connection_failures(log_));
}

asio::awaitable<void> async_http_server::serve(asio::ip::tcp::socket socket)
{
    boost::system::error_code error;
    socket.set_option(asio::ip::tcp::no_delay(true), error);
    const auto stream = std::make_shared<beast::tcp_stream>(std::move(socket));
    if (connections_ > limits_.max_connections) {
        const async_http_response response{503, "", "", "1"};
        co_await write_response(*stream, response, false);
        co_return;
    }
    beast::flat_buffer buffer;
    while (true) {
        http::request_parser<http::string_body> parser;
        parser.header_limit(static_cast<std::uint32_t>(limits_.max_header_bytes));
        parser.body_limit(limits_.max_body_bytes);
        if (buffer.size() == 0) {
            stream->expires_after(timer_duration(limits_.idle_timeout));
            const std::size_t size = co_await stream->async_read_some(
                buffer.prepare(first_read_bytes), asio::redirect_error(asio::use_awaitable, error));
            if (error) {
                co_return;
            }
            buffer.commit(size);
        }
        // The whole request has to arrive within `header_timeout` of its first bytes.
        stream->expires_after(timer_duration(limits_.header_timeout));
        co_await http::async_read(*stream, buffer, parser,
                                  asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            if (const std::optional<unsigned> status = status_of(error)) {
                const async_http_response response{*status, "", "", ""};
                co_await write_response(*stream, response, false);
            }
            co_return;
        }
        stream->expires_never();
        const async_http_request request = parser.release();
        // A caller that has left may have sent its request elsewhere. The process may have been
        // paused since the request arrived.
        if (is_closed_by_peer(stream->socket())) {
            co_return;
        }
        const auto watch = std::make_shared<caller_watch>();
        spawn(executor_, watch_caller(stream, watch));
        async_http_response response = co_await handler_(request, *watch);
        watch->on_closed = nullptr;
        stream->socket().cancel(error);
        if (watch->closed) {
            co_return;
        }
        // Closing a socket with unread data resets the connection, and the caller may lose the
        // response.
        const bool closing =
            closing_ && buffer.size() == 0 && stream->socket().available(error) == 0;
        const bool keep_alive = request.keep_alive() && !draining_ && !closing;
        if (!co_await write_response(*stream, std::move(response), keep_alive) || !keep_alive) {
            stream->socket().shutdown(asio::ip::tcp::socket::shutdown_send, error);
            co_return;
        }
    }
}

} // namespace carobfall
