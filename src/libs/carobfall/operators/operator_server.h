#pragma once

#include "carobfall/base/histogram.h"
#include "carobfall/base/http_server.h"
#include "carobfall/base/status_routes.h"
#include "carobfall/operators/operator_service.h"
#include "carobfall/operators/state_dump.h"

#include <string>
#include <vector>

namespace carobfall {

/// Settings of the operators' interface.
struct operator_settings {
    http_server_settings http{.threads = 16};
    std::vector<std::string> tokens{}; ///< bearer tokens of the operators; none may be empty
};

/// HTTP server for operators on a port of its own (docs/api.md). /healthz, /readyz and /metrics
/// need no token.
class operator_server {
public:
    /// The references must outlive the server.
    operator_server(operator_service& service, const state_dump& dump,
                    const metrics_registry& metrics, readiness_function readiness,
                    operator_settings settings);

    /// Errors: `unavailable` if the address can't be bound, `invalid_request` without a
    /// token or with an empty one.
    result<void> start();
    [[nodiscard]] int port() const { return http_.port(); }
    /// Blocks until the requests in flight are answered.
    void stop() { http_.stop(); }

private:
    void add_declaration_routes(const std::string& path, const std::string& key_prefix);
    void add_configuration_routes();
    void add_state_routes();
    /// Returns a handler that first checks the operator token.
    http_handler protect(http_handler handler) const;
    /// Adds a route that needs the token.
    void add_protected(const std::string& method, const std::string& pattern, http_handler handler);

    [[nodiscard]] bool is_operator(const httplib::Request& request) const;
    void set_data_centre(http_call& call, bool out);
    void apply(http_call& call);
    void list_configuration(http_call& call);
    void retry_now(http_call& call);

    operator_service& service_;
    operator_settings settings_;
    http_server http_; ///< last, so that its threads end before the rest is destroyed
};

} // namespace carobfall
