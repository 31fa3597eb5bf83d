#pragma once

#include "carobfall/base/event_log.h"

#include <absl/time/time.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstddef>
#include <functional>
#include <string>

namespace carobfall {

using async_http_request = boost::beast::http::request<boost::beast::http::string_body>;

struct async_http_response {
    unsigned status{200};
    std::string body; ///< JSON or text; empty: none
    std::string content_type{"application/json"};
    std::string retry_after; ///< whole seconds; empty: no header
};

/// Lets a handler detect that its caller has closed the connection.
struct caller_watch {
    bool closed{false};
    std::function<void()> on_closed;
};

using async_http_handler = std::function<boost::asio::awaitable<async_http_response>(
    const async_http_request&, caller_watch&)>;

/// Limits of the connections and requests of callers.
struct async_http_limits {
    std::size_t max_connections{1000};
    std::size_t max_header_bytes{16U << 10U};
    std::size_t max_body_bytes{256U << 10U};
    absl::Duration header_timeout{absl::Seconds(3)};
    absl::Duration idle_timeout{absl::Seconds(15)};
};

/// HTTP/1.1 server with one coroutine for each connection. Malformed requests and requests over a
/// limit get status 400, 413 or 431; connections beyond `max_connections` get 503.
class async_http_server {
public:
    async_http_server(const boost::asio::any_io_executor& executor, async_http_handler handler,
                      event_log& log);

    /// Throws `boost::system::system_error` if it can't listen.
    void start(const boost::asio::ip::tcp::endpoint& address);
    /// Applies to later requests.
    void set_limits(const async_http_limits& limits) { limits_ = limits; }
    /// Closes each connection after its next response, so that callers connect to other instances.
    void drain() { draining_ = true; }
    /// While `closing`, closes each connection after its next response unless the caller has sent
    /// another request.
    void set_closing(bool closing) { closing_ = closing; }
    [[nodiscard]] std::size_t connections() const { return connections_; }

private:
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);

    boost::asio::any_io_executor executor_;
    const async_http_handler handler_;
    event_log& log_;
    async_http_limits limits_;
    std::size_t connections_{0};
    bool draining_{false};
    bool closing_{false};
};

} // namespace carobfall
