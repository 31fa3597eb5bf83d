#pragma once

#include "carobfall/jobs/job_request.h"
#include "carobfall/jobs/waiting_profile.h"

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <vector>

namespace carobfall {

/// Free room and queue of an agent, from its last report and the orders sent since.
struct agent_load {
    resource_amounts free; ///< room that no run uses; waiting tasks are not subtracted
    waiting_profile waiting;
    double released_millicores_per_s{0}; ///< rate at which runs are expected to release room
};

/// State of an agent and its worker as last reported to an entry.
struct agent_view {
    std::string name;
    std::string data_centre;
    std::string rack;
    std::vector<std::string> labels;
    std::string service;
    bool usable{false}; ///< connected, takes orders, and the data centre is in service
    resource_amounts capacity;
    agent_load load;
    double failure_share{0};                      ///< share of the latest runs that failed
    double slowness{1};                           ///< measured run time divided by the expected one
    double interruptions_per_s{0};                ///< of the worker; recent ones weigh most
    absl::Time reported_at{absl::InfinitePast()}; ///< when the last report arrived
};

/// Settings of the platform that placement depends on.
struct placement_settings {
    /// Run time on a rack without the data of the task, divided by the run time on the rack with
    /// it.
    double remote_slowdown{1.5};
};

/// Times of a task that determine where the task is placed.
struct task_time {
    absl::Duration expected_run;
    absl::Duration slack; ///< the task may start this much later and still meet its objective
    absl::Duration rank;  ///< position in the queue of an agent, from `queue_rank`
};

/// Returns the expected wait of a task with this demand and rank at an agent with this capacity; 0
/// if there is room now.
[[nodiscard]] absl::Duration expected_wait(const resource_amounts& capacity, const agent_load& load,
                                           const resource_amounts& demand, absl::Duration rank);

/// Returns the time in which a full worker would do the work that fits into its free room beside a
/// task with this demand.
[[nodiscard]] absl::Duration room_time(const resource_amounts& capacity, const agent_load& load,
                                       const resource_amounts& demand);

/// Adds an order that was sent to the agent to its load.
void count_order(agent_load& load, const resource_amounts& demand, const task_time& time);

/// Restrictions on the placement of the tasks of a job. Each vector has one element per agent, or
/// is empty if there is no restriction.
struct placement_limits {
    std::vector<std::uint32_t> tasks_of_job; ///< tasks of the job that the agent already has
    std::vector<bool> avoided; ///< whether a task of the job has failed or waited too long there
};

struct job_placement {
    std::vector<std::size_t> agents;   ///< agent index per task, up to the first task without one
    std::vector<absl::Duration> waits; ///< expected wait of each task
    /// Wait of each task up to which it is better off there than elsewhere.
    std::vector<absl::Duration> worthwhile_waits;
    std::vector<bool> away; ///< per task: it runs away from the data that the job names
    /// Expected wait of the task that starts last. The wait away from the data counts if it is
    /// shorter and the task is on time there.
    absl::Duration longest_wait;
    double near_full_share{0}; ///< largest `data_place::full_share` in the comparisons
    double far_full_share{0};
};

/// Places tasks one after the other, each at the agent where it is expected to be least late. Among
/// the agents where the task is on time, one is chosen at random. The probability is proportional
/// to the cube of the agent's free room or, without room, to the cube of the reciprocal of the
/// wait. The wait includes only work that is ahead of the task in the queue.
///
/// Many entries place tasks at once with reports that are tens of milliseconds old: if each chose
/// the emptiest agent, all would choose the same one, and its queue would grow while others have
/// room. `random` returns a value from 0 to 1 at each call.
///
/// If the job names the rack of its data, the best agents of this rack and of the others are
/// compared by `choose_near_or_far`.
[[nodiscard]] job_placement place_tasks(std::span<const agent_view> agents,
                                        const job_request& request, const task_time& time,
                                        std::size_t count, placement_limits limits,
                                        const std::function<double()>& random,
                                        const placement_settings& settings, absl::Time now);

} // namespace carobfall
