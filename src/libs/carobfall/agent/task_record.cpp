#include "carobfall/agent/task_record.h"

namespace carobfall {
namespace {

rpc::task_result dropped_result()
{
    rpc::task_result result;
    result.set_error_message("the task has run, but its result is no longer held; raise the "
                             "agent's ledger.max_result_bytes");
    return result;
}

} // namespace

bool task_record::is_tombstone() const
{
    return state == rpc::task_state_refused || state == rpc::task_state_revoked;
}

bool task_record::has_started() const
{
    return state == rpc::task_state_started || state == rpc::task_state_finished;
}

void task_record::make_tombstone(std::uint32_t new_attempt, rpc::task_state new_state,
                                 rpc::refusal_reason refusal)
{
    attempt = new_attempt;
    state = new_state;
    reason = refusal;
    context.reset();
    payload = std::string(); // releases the memory, unlike clear()
}

rpc::task_status task_record::status(std::uint32_t index) const
{
    rpc::task_status status;
    status.set_index(index);
    status.set_attempt(attempt);
    status.set_state(state);
    status.set_reason(reason);
    if (state == rpc::task_state_finished) {
        *status.mutable_result() = result ? *result : dropped_result();
    }
    return status;
}

rpc::task_status status_without_record(std::uint32_t index, std::uint32_t attempt,
                                       rpc::task_state state, rpc::refusal_reason reason)
{
    rpc::task_status status;
    status.set_index(index);
    status.set_attempt(attempt);
    status.set_state(state);
    status.set_reason(reason);
    return status;
}

} // namespace carobfall
