#pragma once

#include <string_view>

namespace carobfall {

/// Why the lease of a worker must not be extended.
enum class lease_obstacle {
    none,
    runs_unknown,   ///< an earlier agent may have left runs that its entries expect to end
    worker_leaving, ///< the worker has announced its end
    worker_silent,  ///< no renewal was answered for `worker_silence_limit`
    stop_overdue,   ///< other processes expect a run to end, but its stop is unanswered
};

/// Name used in logs, for example "worker_silent".
[[nodiscard]] std::string_view name_of(lease_obstacle obstacle);

} // namespace carobfall
