#pragma once

#include "carobfall/jobs/job_admission.h"
#include "carobfall/jobs/placement_candidate.h"

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <vector>

namespace carobfall {

/// What an entry knows when a job arrives.
struct placement_inputs {
    std::span<const agent_view> agents;
    absl::Duration expected_run;     ///< the longest expected run time of a task
    absl::Time last_immediate_start; ///< when a job could last start at once
    const admission_shares& shares;
    const placement_settings& settings;
    /// Returns the age of the last report of the agent with this name.
    std::function<absl::Duration(const std::string&)> report_age;
    std::function<double()> random; ///< 0 to 1
};

/// An agent as a candidate for the first task of a job.
struct explained_agent {
    std::size_t position{0}; ///< in `placement_inputs::agents`
    placement_obstacle obstacle{placement_obstacle::none};
    /// Why the agent can't take a further task after the placement.
    placement_obstacle obstacle_afterwards{placement_obstacle::none};
    /// Not set if there is an obstacle. The draw is without chance.
    placement_candidate candidate;
    bool has_data{true};    ///< in the rack of the data, or the job names no rack
    std::uint32_t tasks{0}; ///< tasks that the placement gives to the agent
    absl::Duration report_age;
};

struct placement_explanation {
    job_timing timing;
    task_time time; ///< of a task that is placed now
    job_placement placement;
    /// First the chosen agents in the order of their first task, then the other candidates from
    /// the best to the worst, then the agents with an obstacle.
    std::vector<explained_agent> agents;
    job_admission admission;
    absl::Duration admitted_wait; ///< longest expected wait with which the job is admitted
    bool can_end_in_time{true};   ///< the last task can end before the caller gives up
    absl::Duration newest_report; ///< age; of the agents without the obstacle `unusable`
    absl::Duration oldest_report; ///< age; of the same agents
};

/// Returns what would be done with a job that arrives at `now`, and why. Places and admits with the
/// functions that are used for jobs, and changes nothing.
[[nodiscard]] placement_explanation explain_placement(const placement_inputs& inputs,
                                                      const job_request& request, absl::Time now);

} // namespace carobfall
