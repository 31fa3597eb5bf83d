#pragma once

#include "carobfall/base/http_server.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <string>
#include <vector>

namespace carobfall {

/// Returns the reasons why the process is not ready for work; empty if it is ready.
using readiness_function = std::function<std::vector<std::string>()>;

/// Data of a process that the status routes return. The functions are called on request threads.
struct status_sources {
    readiness_function readiness;
    std::function<std::string()> metrics_text;
    std::function<nlohmann::json()> state; ///< without payloads, results and tokens
};

/// Adds GET /healthz, /readyz, /metrics and /debug/state. `protect` wraps the handler of
/// /debug/state.
void add_status_routes(http_server& server, status_sources sources,
                       const std::function<http_handler(http_handler)>& protect);

} // namespace carobfall
