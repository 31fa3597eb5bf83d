#pragma once

#include "carobfall/base/error.h"

#include <absl/time/time.h>
#include <httplib.h>
#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace carobfall {

/// Settings of an HTTP server. Each open connection occupies one thread until it is idle for
/// `keep_alive`.
struct http_server_settings {
    std::string host{"127.0.0.1"};
    int port{0}; ///< 0: chosen by the kernel
    std::size_t threads{16};
    std::size_t max_body_bytes{1024 * 1024};
    absl::Duration keep_alive{absl::Seconds(5)};
    absl::Duration read_timeout{absl::Seconds(5)}; ///< for each read from the connection
    absl::Duration write_timeout{absl::Seconds(5)};
    bool log_successes{true}; ///< false for heartbeats: then logged at verbosity 1, like GETs
};

/// One HTTP request with the response to fill in.
struct http_call {
    const httplib::Request& request;
    httplib::Response& response;
    std::string request_id;
    std::vector<std::string> names; ///< path segments that matched `{}`; all are valid names
    /// Reads the whole body. Errors: `payload_too_large`, `invalid_request` if it ended early.
    std::function<result<std::string>()> read_body;
};

using http_handler = std::function<void(http_call& call)>;

/// Responds with the object, to which the request id is added.
void respond(http_call& call, nlohmann::json body, int status = 200);
/// Responds with the error document and the status of its kind.
void refuse(http_call& call, const error& reason);

/// Routes requests to handlers by method and path and enforces the request limits. Malformed
/// requests and requests without a route get JSON errors. Every response has an X-Request-Id.
class http_server {
public:
    /// `log_name` is the event name in log lines. Successful GET requests are logged at
    /// verbosity 1.
    http_server(std::string log_name, http_server_settings settings);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Adds a route, for example ("GET", "/v1/accounts/{}"). Call before `start`.
    void add_route(std::string method, std::string_view pattern, http_handler handler);

    /// Binds and serves on threads of its own. Errors: `unavailable` if the address can't be bound,
    /// for example because another process listens on the port.
    result<void> start();
    /// The bound port; 0 before `start`.
    [[nodiscard]] int port() const { return port_; }
    /// Stops accepting connections and returns once the requests in flight have completed.
    void stop();

private:
    class listener;
    struct route {
        std::string method;
        std::vector<std::string> segments;
        http_handler handler;
    };

    void install_handlers();
    void configure_listener();
    void handle(const httplib::Request& request, httplib::Response& response,
                const httplib::ContentReader* reader) const;
    void serve(http_call& call) const;
    [[nodiscard]] result<const route*> find_route(const std::string& method,
                                                  const std::vector<std::string>& segments) const;

    std::string log_name_;
    http_server_settings settings_;
    std::vector<route> routes_;
    std::unique_ptr<listener> listener_;
    std::thread thread_;
    int port_{0};
};

} // namespace carobfall
