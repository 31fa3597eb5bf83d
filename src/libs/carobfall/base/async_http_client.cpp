#include "carobfall/base/async_http_client.h"

#include "carobfall/base/boot_clock.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <utility>

namespace carobfall {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

// A response of the store holds at most 1 MB of rows, encoded in base64 and JSON.
constexpr std::uint64_t max_response_bytes = 8U << 20U;
constexpr absl::Duration connect_timeout = absl::Milliseconds(300);
// Longest time for the rest of a response that makes progress.
constexpr absl::Duration response_time_limit = absl::Seconds(10);

} // namespace

async_http_client::async_http_client(const asio::any_io_executor& executor,
                                     asio::ip::tcp::endpoint server)
    : executor_(executor), server_(std::move(server))
{}

asio::awaitable<bool> async_http_client::connect(absl::Duration timeout, http_exchange& exchange)
{
    stream_.emplace(executor_);
    buffer_.clear();
    stream_->expires_after(timer_duration(std::min(timeout, connect_timeout)));
    boost::system::error_code error;
    co_await stream_->async_connect(server_, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        exchange.refused = error == asio::error::connection_refused;
        stream_.reset();
        co_return false;
    }
    boost::system::error_code ignored; // calls work without the option, only slower
    stream_->socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    co_return true;
}

asio::awaitable<bool> async_http_client::read_response(response_parser& parser,
                                                       absl::Duration progress_timeout)
{
    boost::system::error_code error;
    if (progress_timeout == absl::ZeroDuration()) {
        co_await http::async_read(*stream_, buffer_, parser,
                                  asio::redirect_error(asio::use_awaitable, error));
        co_return !error;
    }
    absl::Time give_up_at = absl::InfiniteFuture();
    while (!error && !parser.is_done() && boot_now() < give_up_at) {
        co_await http::async_read_some(*stream_, buffer_, parser,
                                       asio::redirect_error(asio::use_awaitable, error));
        // The time for the response counts from its first bytes: a feed call waits for them.
        give_up_at = std::min(give_up_at, boot_now() + response_time_limit);
        stream_->expires_after(timer_duration(progress_timeout));
    }
    co_return !error && parser.is_done();
}

asio::awaitable<http_exchange> async_http_client::call(const http_client_request& request)
{
    http_exchange exchange;
    if (!stream_ && !co_await connect(request.timeout, exchange)) {
        co_return exchange;
    }
    http::request<http::string_body> message(request.method, request.target, 11);
    message.set(http::field::host, server_.address().to_string());
    for (const auto& [name, value] : request.headers) {
        message.set(name, value);
    }
    if (!request.body.empty()) {
        message.set(http::field::content_type, "application/json");
        message.body() = request.body;
    }
    message.prepare_payload();
    exchange.result = exchange_result::no_answer;
    stream_->expires_after(timer_duration(request.timeout));
    boost::system::error_code error;
    co_await http::async_write(*stream_, message, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        stream_.reset();
        co_return exchange;
    }
    response_parser parser;
    parser.body_limit(max_response_bytes);
    if (!co_await read_response(parser, request.progress_timeout)) {
        stream_.reset();
        co_return exchange;
    }
    exchange.result = exchange_result::answered;
    exchange.status = parser.get().result_int();
    exchange.body = std::move(parser.get().body());
    if (!parser.get().keep_alive()) {
        stream_.reset();
    } else {
        stream_->expires_never();
    }
    co_return exchange;
}

async_http_client_pool::async_http_client_pool(const asio::any_io_executor& executor,
                                               asio::ip::tcp::endpoint server,
                                               std::size_t max_connections)
    : executor_(executor), server_(std::move(server)), max_connections_(max_connections)
{}

asio::awaitable<http_exchange> async_http_client_pool::call(const http_client_request& request)
{
    if (in_use_ >= max_connections_) {
        co_return http_exchange{};
    }
    std::unique_ptr<async_http_client> client;
    if (idle_.empty()) {
        client = std::make_unique<async_http_client>(executor_, server_);
    } else {
        client = std::move(idle_.back());
        idle_.pop_back();
    }
    ++in_use_;
    http_exchange exchange = co_await client->call(request);
    --in_use_;
    idle_.push_back(std::move(client));
    co_return exchange;
}

} // namespace carobfall
