#pragma once

#include "carobfall/base/error.h"

#include <cstdint>
#include <string>
#include <thread>

namespace httplib {
class Server;
} // namespace httplib

namespace carobfall {

/// Runs an HTTP server on a thread of its own. The server has to outlive the listener.
class http_listener {
public:
    /// Refuses to share a port with another process, which the library allows by default.
    explicit http_listener(httplib::Server& server);
    ~http_listener();
    http_listener(const http_listener&) = delete;
    http_listener& operator=(const http_listener&) = delete;

    /// Port 0 chooses a free one. Error: `unavailable` if the port is taken.
    result<void> start(const std::string& address, std::uint16_t port);
    /// Waits for the requests in progress. Idempotent.
    void stop();
    [[nodiscard]] std::uint16_t port() const { return port_; }

private:
    httplib::Server& server_;
    std::uint16_t port_{0};
    std::thread thread_;
};

} // namespace carobfall
