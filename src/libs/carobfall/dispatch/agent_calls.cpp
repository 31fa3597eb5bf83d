#include "carobfall/dispatch/agent_calls.h"

#include <optional>

namespace carobfall {

bool agent_calls::start(const start_batch& batch, std::uint64_t view, absl::Duration timeout)
{
    job& running = *plan_.running;
    const auto reply =
        context_.dependencies.agents(*batch.agent)->start(request_for(batch, view), timeout);
    std::optional<rpc::agent_load> load;
    if (reply && reply.value().has_load()) {
        // Includes the starts of other entries, otherwise known only from the next heartbeat.
        load = reply.value().load();
    }
    context_.dependencies.registry->end_start(
        ref_of(*batch.agent), static_cast<std::uint32_t>(batch.tasks.size()), load, context_.now());
    if (!reply) {
        context_.dependencies.registry->mark_suspected(ref_of(*batch.agent));
    }
    if (!reply && reply.error().kind == error_kind::unavailable) {
        attempt_accounting accounting(context_);
        for (const rpc::task_attempt& task : batch.tasks) {
            accounting.closed(running.key(), running.mark_unsent(task.index(), task.attempt()),
                              context_.now());
        }
        return false;
    }
    bool all_accepted = static_cast<bool>(reply);
    if (reply) {
        for (const rpc::task_status& status : reply.value().tasks()) {
            all_accepted = all_accepted && status.state() != rpc::task_state_refused;
            apply(status);
        }
    }
    // Affects only attempts whose state isn't in the reply; the agent may have started them.
    for (const rpc::task_attempt& task : batch.tasks) {
        running.mark_uncertain(task.index(), task.attempt());
    }
    return all_accepted;
}

bool agent_calls::revoke(const rpc::agent_ref& agent, const std::vector<rpc::task_attempt>& tasks,
                         absl::Duration timeout)
{
    const auto state = context_.dependencies.registry->find(agent);
    if (!state) {
        return false;
    }
    rpc::revoke_request request;
    request.set_view_number(context_.dependencies.owner->snapshot().view.number());
    *request.mutable_submission() = to_message(plan_.running->key());
    request.set_deadline_unix_ms(to_unix_ms(plan_.running->deadline()));
    request.set_agent_incarnation(agent.incarnation());
    for (const rpc::task_attempt& task : tasks) {
        *request.add_tasks() = task;
    }
    const auto reply = context_.dependencies.agents(*state->info)->revoke(request, timeout);
    if (!reply) {
        return false;
    }
    for (const rpc::task_status& status : reply.value().tasks()) {
        apply(status);
    }
    return true;
}

rpc::start_request agent_calls::request_for(const start_batch& batch, std::uint64_t view) const
{
    rpc::start_request request;
    request.set_view_number(view);
    request.set_configuration_version(context_.dependencies.configuration->current()->version);
    *request.mutable_submission() = to_message(plan_.running->key());
    request.set_deadline_unix_ms(to_unix_ms(plan_.running->deadline()));
    request.set_request_path(plan_.declaration.request_path);
    request.set_parameters_json(plan_.parameters_json);
    *request.mutable_coordinator() = context_.dependencies.owner->self();
    request.set_agent_incarnation(batch.agent->incarnation());
    for (const rpc::task_attempt& task : batch.tasks) {
        rpc::start_task* started = request.add_tasks();
        started->set_index(task.index());
        started->set_attempt(task.attempt());
        started->set_payload(plan_.request.tasks(static_cast<int>(task.index())));
    }
    return request;
}

void agent_calls::apply(const rpc::task_status& status)
{
    attempt_accounting(context_).closed(plan_.running->key(), plan_.running->apply(status),
                                        context_.now());
}

} // namespace carobfall
