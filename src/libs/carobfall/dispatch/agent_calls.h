#pragma once

#include "carobfall/dispatch/attempt_accounting.h"
#include "carobfall/dispatch/dispatch_context.h"

#include <memory>
#include <string>
#include <vector>

namespace carobfall {

/// An admitted job and the data from which `agent_calls` builds its start requests.
struct job_plan {
    std::shared_ptr<job> running;
    rpc::submission_request request;
    dispatch_template declaration; ///< version in effect when the job was admitted
    std::string parameters_json;   ///< defaults of the template merged with the request's
    account_limit_values limits;   ///< this entry's share of the account's limits
    absl::Time admitted_at;
};

/// Tasks to start at one agent, each with its attempt number.
struct start_batch {
    std::shared_ptr<const rpc::agent_info> agent;
    std::vector<rpc::task_attempt> tasks;
};

/// Sends the start and revoke requests of one job and applies the replies to it. Thread-safe.
class agent_calls {
public:
    agent_calls(dispatch_context& context, const job_plan& plan) : context_(context), plan_(plan) {}

    /// Requests the agent to start the attempts, which must be open. Returns false if the agent did
    /// not accept all of them.
    bool start(const start_batch& batch, std::uint64_t view, absl::Duration timeout);

    /// Requests the agent to revoke the attempts and applies the states and results in the reply.
    /// If the agent doesn't reply, leaves the job unchanged and returns false.
    bool revoke(const rpc::agent_ref& agent, const std::vector<rpc::task_attempt>& tasks,
                absl::Duration timeout);

private:
    [[nodiscard]] rpc::start_request request_for(const start_batch& batch,
                                                 std::uint64_t view) const;
    void apply(const rpc::task_status& status);

    dispatch_context& context_;
    const job_plan& plan_;
};

} // namespace carobfall
