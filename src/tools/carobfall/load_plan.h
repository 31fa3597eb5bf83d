#pragma once

#include "load_workload.h"

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace carobfall::tool {

/// A submission and the time at which it is to be sent.
struct planned_submission {
    absl::Duration at; ///< since the start
    std::size_t class_index{0};
    std::vector<std::uint32_t> run_ms; ///< run time of each task
};

/// Plans the submissions within the duration, at most `max_submissions`, in order of time. Equal
/// workloads give equal plans.
[[nodiscard]] std::vector<planned_submission> plan_load(const load_workload& workload);

/// Response time without queueing: the longest task of the job + `round_trips` round trips.
[[nodiscard]] absl::Duration ideal_response(const load_workload& workload,
                                            const planned_submission& planned);

} // namespace carobfall::tool
