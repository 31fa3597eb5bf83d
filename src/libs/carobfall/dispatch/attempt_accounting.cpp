#include "carobfall/dispatch/attempt_accounting.h"

#include <algorithm>

namespace carobfall {
namespace {

// Tasks run for 50 ms or more, so a request that fails in less time has not run its task.
constexpr std::uint32_t fast_failure_ms = 20;

constexpr std::uint32_t status_request_timeout = 408;
constexpr std::uint32_t status_gateway_timeout = 504;
constexpr std::uint32_t first_client_error = 400;
constexpr std::uint32_t first_server_error = 500;

} // namespace

std::optional<failure_kind> failure_kind_of(const rpc::task_result& result)
{
    const std::uint32_t status = result.backend_status();
    if (result.success()) {
        return std::nullopt;
    }
    if (status == 0) {
        return result.run_ms() < fast_failure_ms ? failure_kind::refused : failure_kind::timed_out;
    }
    if (status == status_request_timeout || status == status_gateway_timeout) {
        return failure_kind::timed_out;
    }
    if (status >= first_client_error && status < first_server_error) {
        return std::nullopt;
    }
    return result.run_ms() < fast_failure_ms ? failure_kind::fast_failure : failure_kind::failed;
}

void attempt_accounting::opened(const rpc::agent_ref& agent, std::uint32_t tasks)
{
    context_.dependencies.registry->add_outstanding(agent, tasks);
}

void attempt_accounting::closed(const submission_key& key,
                                const std::optional<closed_attempt>& attempt, absl::Time now)
{
    if (!attempt) {
        return;
    }
    const std::uint32_t freed =
        context_.dependencies.registry->remove_outstanding(attempt->agent, 1);
    if (attempt->requeued) {
        context_.limits.requeue(key.client_account, 1, false);
    } else {
        context_.limits.release(key.client_account, 1);
    }
    record_health(*attempt, now);
    // Signals at least one slot: even if the agent already had free capacity, the account's limits
    // may have blocked a job until now.
    context_.waiters.signal(std::max(1U, freed));
}

void attempt_accounting::record_health(const closed_attempt& attempt, absl::Time now)
{
    const std::string& agent = attempt.agent.name();
    const rpc::task_status& status = attempt.status;
    if (status.state() == rpc::task_state_finished) {
        if (status.result().success()) {
            context_.health.record_success(agent);
            return;
        }
        if (const auto kind = failure_kind_of(status.result())) {
            context_.health.record_failure(agent, *kind, now);
            return;
        }
    }
    if (status.state() == rpc::task_state_refused &&
        status.reason() == rpc::refusal_backend_unavailable) {
        context_.health.record_failure(agent, failure_kind::refused, now);
        return;
    }
    context_.health.release_probe(agent);
}

} // namespace carobfall
