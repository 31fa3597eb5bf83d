#pragma once

#include <nlohmann/json.hpp>

namespace carobfall::measure {

/// Counts every gRPC call that this process makes from now on. Has to be called before the first
/// channel is created.
void count_calls();

/// Calls and failed calls by method, and the tasks in the replies of agents by state.
[[nodiscard]] nlohmann::json call_counts();

} // namespace carobfall::measure
