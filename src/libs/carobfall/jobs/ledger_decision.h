#pragma once

#include "carobfall/jobs/worker_orders.h"

#include <absl/time/time.h>

#include <string_view>

namespace carobfall {

inline constexpr std::string_view worker_leaves_reason = "worker_leaves_first";

/// A decision of the ledger on a task before its usual end, for the log.
struct ledger_decision {
    std::string_view reason; ///< as in the event that ends the task
    task_run task;
    absl::Duration passed;   ///< time since the task was received or its run was ordered
    absl::Duration expected; ///< rest of the wait or of the run
    absl::Duration limit;    ///< that `expected` or `passed` exceeds
    absl::Duration age;      ///< of the worker's latest report
};

} // namespace carobfall
