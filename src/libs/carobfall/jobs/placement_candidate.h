#pragma once

#include "carobfall/jobs/task_placement.h"

#include <absl/time/time.h>

#include <cstdint>
#include <string_view>

namespace carobfall {

/// A delay within this share of the slack counts as on time. The rest allows for waits and run
/// times that are somewhat longer than estimated.
inline constexpr double safe_share_of_slack = 0.6;

/// Why an agent can't take a task.
enum class placement_obstacle {
    none,
    unusable, ///< not connected, takes no orders, or its data centre is out of service
    other_service,
    too_small,  ///< the worker is too small for the task even without other runs
    task_limit, ///< the agent has as many tasks of the job as one worker may run
    label_missing,
};

/// Name used in explanations, for example "label_missing".
[[nodiscard]] std::string_view name_of(placement_obstacle obstacle);

/// What is expected of a task at an agent.
struct placement_candidate {
    absl::Duration wait;
    double slowness{1};    ///< expected run time divided by the expected one on a usual worker
    absl::Duration losses; ///< expected delay because of failures and interruptions
    double lateness_ms{0}; ///< delay beyond the safe share of the slack
    double draw{0};        ///< the greatest draw wins among candidates with equal lateness
};

/// `tasks_of_job`: number of tasks of the job that the agent already has.
[[nodiscard]] placement_obstacle find_obstacle(const agent_view& agent, const job_request& request,
                                               std::uint32_t tasks_of_job);
/// Whether a job that names the rack of its data would run away from it at this agent.
[[nodiscard]] bool is_away_from_data(const agent_view& agent, const job_request& request);
/// Evaluates an agent that can take the task. `load`: its load including the orders sent since its
/// last report. `avoided`: a task of the job has failed or waited too long there. `random`: 0 to 1.
[[nodiscard]] placement_candidate
evaluate_candidate(const agent_view& agent, const agent_load& load, const job_request& request,
                   const task_time& time, bool avoided, const placement_settings& settings,
                   double random);
[[nodiscard]] bool is_better(const placement_candidate& left, const placement_candidate& right);

} // namespace carobfall
