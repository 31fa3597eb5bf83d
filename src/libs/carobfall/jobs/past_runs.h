#pragma once

#include "carobfall/jobs/worker_orders.h"

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace carobfall {

/// Records the highest run number of each task that ran on the worker recently, so that a later
/// order of the task gets a higher number.
class past_runs {
public:
    void record(const task_run& run, absl::Time now);
    /// Removes runs that are too old for any order that is still under way.
    void expire(absl::Time now);
    /// Returns 0 if no run of the task is recorded.
    [[nodiscard]] std::uint32_t highest(const std::string& job_id, std::uint32_t index) const;

private:
    using task_key = std::pair<std::string, std::uint32_t>;
    struct past_run {
        std::uint32_t highest{0};
        absl::Time seen_at{absl::InfinitePast()};
    };

    std::map<task_key, past_run> runs_;
};

} // namespace carobfall
