#pragma once

#include <string_view>

namespace carobfall {

/// Why the lease of a worker must not be extended.
enum class lease_obstacle {
    none,
    runs_unknown,   ///< of an earlier agent, whose entries count on their end
    worker_leaving, ///< its runs end with it
    worker_silent,
    stop_overdue, ///< others count on the end of a run, and its stop is unanswered
};

/// Name used in logs, for example "worker_silent".
[[nodiscard]] std::string_view name_of(lease_obstacle obstacle);

} // namespace carobfall
