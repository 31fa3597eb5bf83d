#pragma once

#include <nlohmann/json.hpp>

namespace carobfall::measure {

/// Counts every gRPC call that this process makes from now on. Call it before the first channel is
/// made.
void count_calls();

/// Calls and failed calls by method, and the tasks in the answers of agents by state.
[[nodiscard]] nlohmann::json call_counts();

} // namespace carobfall::measure
