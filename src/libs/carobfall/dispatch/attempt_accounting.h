#pragma once

#include "carobfall/dispatch/dispatch_context.h"

#include <optional>

namespace carobfall {

/// How the backend server failed, as far as the result of a task shows it. Nothing for a success
/// and for a task that failed by its own fault (HTTP status 4xx).
[[nodiscard]] std::optional<failure_kind> failure_kind_of(const rpc::task_result& result);

/// Keeps the counts and the health of agents in step with the attempts of jobs.
class attempt_accounting {
public:
    explicit attempt_accounting(dispatch_context& context) : context_(context) {}

    void opened(const rpc::agent_ref& agent, std::uint32_t tasks);
    /// The attempt has ended. Does nothing without a value.
    void closed(const submission_key& key, const std::optional<closed_attempt>& attempt,
                absl::Time now);

private:
    void record_health(const closed_attempt& attempt, absl::Time now);

    dispatch_context& context_;
};

} // namespace carobfall
