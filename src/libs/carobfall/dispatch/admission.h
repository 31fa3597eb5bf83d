#pragma once

#include "carobfall/dispatch/agent_calls.h"
#include "carobfall/dispatch/dispatch_context.h"

namespace carobfall {

/// Decides whether a new submission is admitted. A refusal means that nothing was started.
class admission {
public:
    explicit admission(dispatch_context& context) : context_(context) {}

    /// Checks the request against the configuration and the agents, and adds its tasks to the
    /// account's queue.
    ///
    /// Errors: `stale_configuration`, `not_found` (account or template), `invalid_request`,
    /// `payload_too_large`, `deadline_exceeded`, `infeasible` (no registered agent meets the
    /// template's requirements), `unavailable` (no agent accepts tasks now), `overloaded`,
    /// `limit_exceeded`.
    result<job_plan> admit(const std::shared_ptr<job>& opened,
                           const rpc::submission_request& request, absl::Time now);

private:
    result<job_plan> plan_for(const rpc::submission_request& request, absl::Time now) const;
    [[nodiscard]] result<void> check_agents(const dispatch_template& declaration,
                                            const configuration& current,
                                            const rpc::submission_request& request,
                                            absl::Time now) const;

    dispatch_context& context_;
};

/// Merges the parameters of the request into the template's defaults. Returns a JSON object.
/// Errors: `invalid_request`.
[[nodiscard]] result<std::string> merge_parameters(const dispatch_template& declaration,
                                                   const std::string& parameters_json);

/// Estimates the time until `tasks` new tasks finish on agents with `slots` slots in total.
/// `tasks_ahead` tasks are already running or queued, and each task takes `run`.
[[nodiscard]] absl::Duration estimate_completion(std::uint64_t tasks_ahead, std::uint32_t tasks,
                                                 std::uint32_t slots, absl::Duration run);

} // namespace carobfall
