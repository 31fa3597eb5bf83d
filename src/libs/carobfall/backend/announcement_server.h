#pragma once

#include "carobfall/backend/backend_registration.h"
#include "carobfall/base/clock.h"
#include "carobfall/base/error.h"
#include "carobfall/base/http_server.h"

#include <string>

namespace carobfall {

/// HTTP server on a loopback address on which the backend server announces itself
/// (POST /v1/announce, repeated as a heartbeat) and leaves (POST /v1/leave).
class announcement_server {
public:
    /// `registration` has to outlive the server. `host` is a loopback address; port 0 chooses a
    /// free one.
    announcement_server(backend_registration& registration, clock_function clock, std::string host,
                        int port);

    /// Errors: those of `http_server::start`.
    result<void> start() { return http_.start(); }
    void stop() { http_.stop(); }
    [[nodiscard]] int port() const { return http_.port(); }

private:
    void announce(http_call& call);
    void leave(http_call& call);

    backend_registration& registration_;
    const clock_function clock_;
    http_server http_; ///< last, so that its threads end before other members are destroyed
};

} // namespace carobfall
