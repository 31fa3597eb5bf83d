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

/// What an agent knows of its worker when it decides on the lease.
struct lease_conditions {
    bool runs_known{false};
    bool worker_leaving{false};
    bool recently_answered{false};
    bool stop_overdue{false};
};

[[nodiscard]] lease_obstacle find_lease_obstacle(const lease_conditions& conditions);
/// Name used in logs, for example "worker_silent".
[[nodiscard]] std::string_view name_of(lease_obstacle obstacle);

} // namespace carobfall
