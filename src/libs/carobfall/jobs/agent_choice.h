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

/// Room and queue of an agent: those of its last report and the orders sent since.
struct agent_load {
    resource_amounts free; ///< room that no run takes; what waits is not taken off
    waiting_profile waiting;
    double released_millicores_per_s{0}; ///< room that its runs are expected to give back
};

/// What an entry knows of an agent and the worker beside it.
struct agent_view {
    std::string name;
    std::string data_centre;
    std::string rack;
    std::vector<std::string> labels;
    std::string service;
    bool usable{false}; ///< connected, takes orders, its data centre is in service
    resource_amounts capacity;
    agent_load load;
    double failure_share{0}; ///< of the latest runs
    double slowness{1};      ///< measured run time against the expected one
};

/// What placing needs to know of a task.
struct task_time {
    absl::Duration expected_run;
    absl::Duration slack; ///< the task may start this much later and still meet its objective
    absl::Duration rank;  ///< its place in the queue of an agent, see `queue_rank`
};

/// Wait until the task could start at an agent of this capacity. 0 if there is room now.
[[nodiscard]] absl::Duration expected_wait(const resource_amounts& capacity, const agent_load& load,
                                           const resource_amounts& demand, absl::Duration rank);

/// Takes an order that was sent to the agent into account.
void count_order(agent_load& load, const resource_amounts& demand, const task_time& time);

/// What keeps tasks of the job from an agent, by the agents' positions. Empty: nothing.
struct placement_limits {
    std::vector<std::uint32_t> tasks_of_job; ///< that the agent has already
    std::vector<bool> avoided;               ///< a task of the job has failed there
};

struct job_placement {
    std::vector<std::size_t> agents;   ///< position for each task; ends at the first without one
    std::vector<absl::Duration> waits; ///< that are expected of each of them
    absl::Duration longest_wait;       ///< until the last of the tasks is expected to start
};

/// Places tasks one after the other, each where it is expected to be least late; among the agents
/// where it is on time, at random in proportion to the cube of the free room, or of one over the
/// wait if there is none. Only work that goes before the task counts as its wait.
///
/// Answers load that is placed by many entries at once with knowledge that is tens of milliseconds
/// old: if each chose the emptiest agent, all would choose the same one, and its queue would grow
/// while others have room. `random` gives 0 to 1 at each call.
[[nodiscard]] job_placement place_tasks(std::span<const agent_view> agents,
                                        const job_request& request, const task_time& time,
                                        std::size_t count, placement_limits limits,
                                        const std::function<double()>& random);

} // namespace carobfall
