#pragma once

#include "carobfall/backend/backend_registration.h"
#include "carobfall/backend/http_listener.h"
#include "carobfall/base/clock.h"
#include "carobfall/base/error.h"

#include <cstdint>
#include <memory>
#include <string>

namespace httplib {
class Server;
} // namespace httplib

namespace carobfall {

/// HTTP server on a loopback address through which the backend server announces itself
/// (POST /v1/announce, repeated as a heartbeat) and leaves (POST /v1/leave). Errors are answered
/// as {"error": {"kind", "message", "remedy"}}.
class announcement_server {
public:
    /// `registration` has to outlive the server.
    announcement_server(backend_registration& registration, clock_function clock);
    ~announcement_server();
    announcement_server(const announcement_server&) = delete;
    announcement_server& operator=(const announcement_server&) = delete;

    /// `address` is a loopback address; port 0 chooses a free one. Error: `unavailable` if the port
    /// is taken.
    result<void> start(const std::string& address, std::uint16_t port);
    void stop() { listener_.stop(); }
    [[nodiscard]] std::uint16_t port() const { return listener_.port(); }

private:
    void add_routes();

    backend_registration& registration_;
    const clock_function clock_;
    std::unique_ptr<httplib::Server> server_;
    http_listener listener_;
};

} // namespace carobfall
