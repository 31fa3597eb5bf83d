#pragma once

#include "carobfall/base/http_server.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <string>
#include <vector>

namespace carobfall {

/// Reasons why the process must not get work; empty if it is ready.
using readiness_function = std::function<std::vector<std::string>()>;

/// What a process shows to operators. Called from request threads.
struct status_sources {
    readiness_function readiness;
    std::function<std::string()> metrics_text;
    std::function<nlohmann::json()> state; ///< without payloads, results and tokens
};

/// Adds GET /healthz, /readyz, /metrics and /debug/state, the last one after `protect` has wrapped
/// its handler.
void add_status_routes(http_server& server, status_sources sources,
                       const std::function<http_handler(http_handler)>& protect);

} // namespace carobfall
