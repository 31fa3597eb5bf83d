#pragma once

#include "carobfall/jobs/job_request.h"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace carobfall {

/// What an entry knows of an agent and the worker beside it. The figures are those of the last
/// report less the orders sent since.
struct agent_view {
    std::string name;
    std::string data_centre;
    std::string rack;
    std::vector<std::string> labels;
    std::string service;
    bool usable{false}; ///< connected, takes orders, its data centre is in service
    resource_amounts capacity;
    resource_amounts free;     ///< room that no run takes
    double waiting_core_ms{0}; ///< work of the orders that wait
    double urgent_core_ms{0};  ///< part of it that has to start within 100 ms
    double failure_share{0};   ///< of the latest runs
    double slowness{1};        ///< measured run time against the expected one
    std::uint32_t tasks_of_job{0};
    bool avoided{false}; ///< a task of this job has failed there
};

/// Wait until a task could start at the agent. 0 if there is room now. `core_ms_before`: work that
/// waits and goes before the task.
[[nodiscard]] absl::Duration expected_wait(const agent_view& agent, const resource_amounts& demand,
                                           double core_ms_before);

/// What placing needs to know of the time of a task.
struct task_time {
    absl::Duration expected_run;
    absl::Duration slack; ///< the task may start this much later and still meet its objective
};

/// The agent where the task is expected to be least late; among those where it is on time, the one
/// with most room, so that slower workers take their share while that harms nobody and the fast
/// ones keep room for urgent tasks. Answers load that is known late and placed by several entries
/// at once: `random` (0 to 1 at each call) makes entries with the same knowledge choose
/// differently. Nothing if no agent can take the task.
[[nodiscard]] std::optional<std::size_t> choose_agent(std::span<const agent_view> agents,
                                                      const job_request& request,
                                                      const task_time& time,
                                                      const std::function<double()>& random);

} // namespace carobfall
