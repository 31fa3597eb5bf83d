#pragma once

#include "carobfall/dispatch/dispatch_context.h"

#include <optional>

namespace carobfall {

/// Returns how the backend server failed according to the result. Returns no value for a success or
/// a failure that the task itself caused (HTTP status 4xx).
[[nodiscard]] std::optional<failure_kind> failure_kind_of(const rpc::task_result& result);

/// Updates the task counts and the health of agents, the account limits and the slot waiters when
/// attempts of jobs are opened or closed.
class attempt_accounting {
public:
    explicit attempt_accounting(dispatch_context& context) : context_(context) {}

    void opened(const rpc::agent_ref& agent, std::uint32_t tasks);
    /// Accounts for the end of the attempt. Does nothing if `attempt` has no value.
    void closed(const submission_key& key, const std::optional<closed_attempt>& attempt,
                absl::Time now);

private:
    void record_health(const closed_attempt& attempt, absl::Time now);

    dispatch_context& context_;
};

} // namespace carobfall
