#pragma once

#include "carobfall/dispatch/attempt_accounting.h"
#include "carobfall/dispatch/dispatch_context.h"

#include <memory>
#include <string>
#include <vector>

namespace carobfall {

/// What a job sends to its agents.
struct job_plan {
    std::shared_ptr<job> running;
    rpc::submission_request request;
    dispatch_template declaration; ///< as in force when the job was admitted
    std::string parameters_json;   ///< defaults of the template merged with the request's
    account_limit_values limits;   ///< this entry's part of the account's limits
    absl::Time admitted_at;
};

/// Tasks that one agent is to start, with the number of the attempt of each.
struct start_batch {
    std::shared_ptr<const rpc::agent_info> agent;
    std::vector<rpc::task_attempt> tasks;
};

/// Sends starts and revokes of one job and applies the replies to it. Thread-safe.
class agent_calls {
public:
    agent_calls(dispatch_context& context, const job_plan& plan) : context_(context), plan_(plan) {}

    /// Starts the attempts, which are open. False if any of them was not taken.
    bool start(const start_batch& batch, std::uint64_t view, absl::Duration limit);

    /// Asks the agent to revoke the attempts. A tombstone, a state or a result is applied; without
    /// an answer nothing changes. False without an answer.
    bool revoke(const rpc::agent_ref& agent, const std::vector<rpc::task_attempt>& tasks,
                absl::Duration limit);

private:
    [[nodiscard]] rpc::start_request request_for(const start_batch& batch,
                                                 std::uint64_t view) const;
    void apply(const rpc::task_status& status);

    dispatch_context& context_;
    const job_plan& plan_;
};

} // namespace carobfall
