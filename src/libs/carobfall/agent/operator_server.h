#pragma once

#include "carobfall/backend/http_listener.h"
#include "carobfall/base/error.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace httplib {
class Server;
} // namespace httplib

namespace carobfall {

/// What the operators' port of an agent shows.
struct operator_sources {
    std::function<std::string()> state_json;
    std::function<std::string()> metrics_text;
    /// Empty if the agent accepts work, or else what is missing.
    std::function<std::string()> not_ready_reason;
};

/// Operators' HTTP port of an agent: GET /debug/state, /metrics, /healthz, /readyz.
class agent_operator_server {
public:
    explicit agent_operator_server(operator_sources sources);
    ~agent_operator_server();
    agent_operator_server(const agent_operator_server&) = delete;
    agent_operator_server& operator=(const agent_operator_server&) = delete;

    /// Port 0 chooses a free one. Error: `unavailable` if the port is taken.
    result<void> start(const std::string& address, std::uint16_t port)
    {
        return listener_.start(address, port);
    }
    void stop() { listener_.stop(); }
    [[nodiscard]] std::uint16_t port() const { return listener_.port(); }

private:
    const operator_sources sources_;
    std::unique_ptr<httplib::Server> server_;
    http_listener listener_;
};

} // namespace carobfall
