#pragma once

#include <absl/time/time.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/verb.hpp>

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace carobfall {

/// Request of an `async_http_client`.
struct http_client_request {
    boost::beast::http::verb method{boost::beast::http::verb::get};
    std::string target;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body; ///< JSON; empty: none
    /// For the whole call, or, with `progress_timeout`, until its response begins.
    absl::Duration timeout;
    /// Longest pause within the response. Zero: no limit but `timeout`.
    absl::Duration progress_timeout;
};

enum class exchange_result {
    answered,
    not_sent,  ///< no connection; the call had no effect
    no_answer, ///< sent, at least in part; the peer may have acted on it or may do so later
};

struct http_exchange {
    exchange_result result{exchange_result::not_sent};
    bool refused{false}; ///< with `not_sent`: nothing listens at the address
    unsigned status{0};
    std::string body;
};

/// HTTP client with one persistent connection, which is closed after a call without a response. One
/// call at a time.
class async_http_client {
public:
    async_http_client(const boost::asio::any_io_executor& executor,
                      boost::asio::ip::tcp::endpoint server);

    boost::asio::awaitable<http_exchange> call(const http_client_request& request);

private:
    using response_parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    boost::asio::awaitable<bool> connect(absl::Duration timeout, http_exchange& exchange);
    /// Reads the response. False if it did not arrive in time.
    boost::asio::awaitable<bool> read_response(response_parser& parser,
                                               absl::Duration progress_timeout);

    boost::asio::any_io_executor executor_;
    const boost::asio::ip::tcp::endpoint server_;
    std::optional<boost::beast::tcp_stream> stream_;
    boost::beast::flat_buffer buffer_;
};

/// Pool of persistent connections to one server, for concurrent calls.
class async_http_client_pool {
public:
    async_http_client_pool(const boost::asio::any_io_executor& executor,
                           boost::asio::ip::tcp::endpoint server, std::size_t max_connections);

    /// The result is `not_sent` if all connections are in use.
    boost::asio::awaitable<http_exchange> call(const http_client_request& request);

private:
    boost::asio::any_io_executor executor_;
    const boost::asio::ip::tcp::endpoint server_;
    const std::size_t max_connections_;
    std::size_t in_use_{0};
    std::vector<std::unique_ptr<async_http_client>> idle_;
};

} // namespace carobfall
