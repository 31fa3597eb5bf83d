#include "carobfall/dispatch/admission.h"

#include "carobfall/dispatch/agent_selection.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace carobfall {
namespace {

constexpr double half_round = 0.5;

result<void> check_template(const dispatch_template& declaration,
                            const rpc::submission_request& request, absl::Time now)
{
    const auto tasks = static_cast<std::uint32_t>(request.tasks_size());
    if (tasks == 0 || tasks > std::min(declaration.max_tasks, max_tasks_per_submission)) {
        return failure(error_kind::invalid_request,
                       absl::StrCat("the template accepts 1 to ", declaration.max_tasks, " tasks"),
                       "split the submission");
    }
    for (const std::string& payload : request.tasks()) {
        if (payload.size() > declaration.max_payload_bytes) {
            return failure(error_kind::payload_too_large,
                           absl::StrCat("the template accepts payloads of up to ",
                                        declaration.max_payload_bytes, " bytes"),
                           "shorten the payload or have the template changed");
        }
    }
    const absl::Duration ahead = from_unix_ms(request.deadline_unix_ms()) - now;
    if (ahead > std::min(declaration.max_deadline, max_deadline)) {
        return failure(error_kind::invalid_request,
                       absl::StrCat("the deadline is more than ",
                                    absl::FormatDuration(declaration.max_deadline), " ahead"),
                       "choose an earlier deadline");
    }
    return success();
}

result<void> check_required(const dispatch_template& declaration, const nlohmann::json& merged)
{
    for (const std::string& name : declaration.required_parameters) {
        if (!merged.contains(name)) {
            return failure(error_kind::invalid_request,
                           absl::StrCat("the template requires the parameter ", name),
                           "add it to `parameters`");
        }
    }
    return success();
}

} // namespace

result<job_plan> admission::admit(const std::shared_ptr<job>& opened,
                                  const rpc::submission_request& request, absl::Time now)
{
    if (context_.dependencies.configuration->fresh_for(now) <= absl::ZeroDuration()) {
        return failure(error_kind::stale_configuration,
                       "the configuration can't be confirmed as current",
                       "submit again in a moment; operators check the table service and the other "
                       "entries");
    }
    BOOST_OUTCOME_TRY(job_plan plan, plan_for(request, now));
    if (!context_.limits.enqueue(opened->key().client_account, plan.limits, opened->task_count())) {
        return failure(error_kind::limit_exceeded, "the queue of the client account is full",
                       "submit again when earlier submissions have been answered");
    }
    plan.running = opened;
    return plan;
}

result<job_plan> admission::plan_for(const rpc::submission_request& request, absl::Time now) const
{
    const configuration_ptr current = context_.dependencies.configuration->current();
    const std::string& account_name = request.key().client_account();
    const client_account* account = current->find_account(account_name);
    if (account == nullptr) {
        return failure(error_kind::not_found,
                       absl::StrCat("there is no client account ", account_name),
                       "have an operator declare it");
    }
    const dispatch_template* declaration =
        current->find_template(account_name, request.template_name());
    if (declaration == nullptr) {
        return failure(error_kind::not_found,
                       absl::StrCat("the account has no template ", request.template_name()),
                       "correct the name or have an operator declare the template");
    }
    BOOST_OUTCOME_TRYV(check_template(*declaration, request, now));
    job_plan plan;
    BOOST_OUTCOME_TRY(plan.parameters_json,
                      merge_parameters(*declaration, request.parameters_json()));
    BOOST_OUTCOME_TRYV(check_agents(*declaration, *current, request, now));
    const auto entries =
        static_cast<std::uint32_t>(context_.dependencies.owner->snapshot().view.members_size());
    plan.request = request;
    plan.declaration = *declaration;
    plan.limits = limits_per_entry(account->limits, entries);
    plan.admitted_at = now;
    return plan;
}

result<void> admission::check_agents(const dispatch_template& declaration,
                                     const configuration& current,
                                     const rpc::submission_request& request, absl::Time now) const
{
    bool feasible = false;
    std::uint32_t slots = 0;
    std::uint64_t ahead = context_.limits.queued();
    bool any = false;
    context_.dependencies.registry->for_each([&](const agent_state& agent) {
        any = true;
        feasible = feasible || meets_requirements(*agent.info, declaration);
        if (may_place(agent, current, declaration, context_.settings, now)) {
            slots += agent.info->backend_server().slots();
            ahead += known_load(agent, context_.settings, now);
        }
    });
    if (!feasible && any) {
        return failure(error_kind::infeasible,
                       "no backend server meets the data centres and requirements of the template",
                       "have an operator change the template or add a backend server");
    }
    if (slots == 0) {
        return failure(error_kind::unavailable, "no backend server can take the tasks now",
                       "submit again in a moment; operators check the list of backend servers");
    }
    const auto tasks = static_cast<std::uint32_t>(request.tasks_size());
    const run_estimate run = context_.run_averages.expected(
        declaration.client_account, declaration.name, declaration.expected_run, now);
    // While enough slots are free, a long declared run time doesn't cause a refusal. Otherwise, an
    // excessive value would refuse all submissions, and no measured run would ever replace it.
    if (!run.is_measured && ahead + tasks <= slots) {
        return success();
    }
    const absl::Duration needed = estimate_completion(ahead, tasks, slots, run.run);
    if (now + needed > from_unix_ms(request.deadline_unix_ms())) {
        return failure(error_kind::overloaded,
                       absl::StrCat("the tasks are expected to take ", absl::FormatDuration(needed),
                                    " with the current queue"),
                       "submit again later or with a later deadline");
    }
    return success();
}

result<std::string> merge_parameters(const dispatch_template& declaration,
                                     const std::string& parameters_json)
{
    nlohmann::json merged = nlohmann::json::parse(declaration.parameters_json, nullptr, false);
    const std::string text = parameters_json.empty() ? "{}" : parameters_json;
    const nlohmann::json given = nlohmann::json::parse(text, nullptr, false);
    if (!merged.is_object() || !given.is_object()) {
        return failure(error_kind::invalid_request, "the parameters are not a JSON object",
                       "send `parameters` as an object");
    }
    merged.update(given);
    BOOST_OUTCOME_TRYV(check_required(declaration, merged));
    return merged.dump();
}

absl::Duration estimate_completion(std::uint64_t tasks_ahead, std::uint32_t tasks,
                                   std::uint32_t slots, absl::Duration run)
{
    const double rounds = std::ceil(static_cast<double>(tasks_ahead + tasks) / slots);
    // The tasks that occupy all slots now are half finished on average.
    return run * (tasks_ahead >= slots ? rounds - half_round : rounds);
}

} // namespace carobfall
