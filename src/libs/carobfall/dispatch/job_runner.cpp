#include "carobfall/dispatch/job_runner.h"

#include "carobfall/base/log_fields.h"
#include "carobfall/dispatch/agent_selection.h"
#include "carobfall/dispatch/answer_builder.h"

#include <absl/strings/str_cat.h>
#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace carobfall {
namespace {

rpc::claim claim_for(const job_plan& plan)
{
    rpc::claim claim;
    *claim.mutable_submission() = to_message(plan.running->key());
    claim.set_body_hash(plan.running->body_hash());
    claim.set_deadline_unix_ms(to_unix_ms(plan.running->deadline()));
    claim.set_task_count(plan.running->task_count());
    return claim;
}

rpc::task_attempt attempt_of(std::uint32_t index, std::uint32_t attempt)
{
    rpc::task_attempt message;
    message.set_index(index);
    message.set_attempt(attempt);
    return message;
}

} // namespace

job_runner::job_runner(dispatch_context& context, job_plan plan)
    : context_(context),
      plan_(std::move(plan)),
      job_(*plan_.running),
      calls_(context, plan_),
      claim_(context, claim_for(plan_))
{
    const dispatch_settings& settings = context_.settings;
    const absl::Duration wind_down =
        settings.wind_down_share * (job_.deadline() - plan_.admitted_at);
    stop_time_ =
        job_.deadline() - std::clamp(wind_down, settings.min_wind_down, settings.max_wind_down);
    answer_time_ = job_.deadline() - settings.answer_reserve;
    job_.set_max_result_bytes(plan_.declaration.max_result_bytes);
}

bool job_runner::run()
{
    while (!must_stop()) {
        const std::uint64_t seen = job_.events();
        close_lost_attempts();
        place_waiting();
        revoke_uncertain();
        job_.wait_for_event(seen, next_wait());
    }
    context_.waiters.leave(job_);
    wind_down();
    return record_answer();
}

bool job_runner::must_stop() const
{
    const job_progress progress = job_.progress();
    return progress.finished == job_.task_count() || progress.failed > 0 || progress.lost > 0 ||
           ownership_moved_ || job_.cancel_requested() || context_.now() >= stop_time_;
}

void job_runner::close_lost_attempts()
{
    if (job_.progress().open == 0) {
        return;
    }
    std::uint32_t index = 0;
    for (const task_entry& task : job_.tasks()) {
        if (task.is_open() && context_.dependencies.registry->is_lost(task.agent)) {
            attempt_accounting(context_).closed(
                job_.key(), job_.mark_lost(index, task.attempt, may_rerun()), context_.now());
        }
        ++index;
    }
}

void job_runner::revoke_uncertain()
{
    const absl::Time begin = context_.now();
    const auto is_suspected = [&](const task_entry& task) {
        return task.phase == task_phase::uncertain || (may_rerun() && is_silent(task.agent, begin));
    };
    if (begin < next_revoke_ || (job_.progress().uncertain == 0 && !may_rerun())) {
        return;
    }
    revoke(is_suspected, call_timeout(context_.settings.revoke_call_timeout));
    // Pauses as long as the calls took: a hanging agent takes at most half of the thread's time.
    const absl::Time end = context_.now();
    next_revoke_ = end + std::max(context_.settings.call_retry_pause, end - begin);
}

void job_runner::place_waiting()
{
    const absl::Time now = context_.now();
    const std::uint32_t waiting = job_.progress().waiting;
    waits_for_slot_ = false;
    if (waiting == 0) {
        context_.waiters.leave(job_);
        return;
    }
    // Enters the queue before it examines the agents. Otherwise, a slot that becomes free in
    // between would wake no job.
    context_.waiters.enter(job_);
    const std::optional<std::uint32_t> woken = context_.waiters.take_wake_up(job_);
    if (!may_start_now(now)) {
        return;
    }
    const auto open = candidates(now);
    if (open.empty()) {
        set_blocked({error_kind::unavailable, "no backend server can take the tasks now",
                     "submit again in a moment; operators check the list of backend servers"});
        waits_for_slot_ = true;
        return;
    }
    std::uint32_t capacity = 0;
    for (const placement_candidate& candidate : open) {
        capacity += candidate.room + candidate.outstanding;
    }
    const std::string& account = job_.key().client_account;
    const std::uint32_t granted =
        context_.limits.grant(account, plan_.limits, waiting, capacity, now);
    if (granted == 0) {
        set_blocked({error_kind::overloaded, "no slot became free for the tasks in time",
                     "submit again later or with a later deadline"});
        waits_for_slot_ = true;
        if (woken) {
            context_.waiters.pass_on(job_, *woken);
        }
        return;
    }
    const auto counts = context_.dependencies.placement(open, granted);
    std::uint32_t placed = 0;
    for (const std::uint32_t count : counts) {
        placed += count;
    }
    std::vector<start_batch> batches = assign(open, counts, choose_tasks(placed, now), now);
    std::uint64_t view = 0;
    if (!batches.empty() && !hold_claim(batches, view)) {
        batches.clear();
    }
    std::uint32_t used = 0;
    for (const start_batch& batch : batches) {
        used += static_cast<std::uint32_t>(batch.tasks.size());
    }
    context_.limits.requeue(account, granted - used, true);
    start(batches, view);
}

bool job_runner::may_start_now(absl::Time now)
{
    if (!context_.dependencies.owner->snapshot().usable()) {
        set_blocked({error_kind::unavailable, "the view of entries is changing",
                     "submit again in a moment"});
        return false;
    }
    if (context_.dependencies.configuration->fresh_for(now) <= absl::ZeroDuration()) {
        set_blocked(
            {error_kind::stale_configuration, "the configuration can't be confirmed as current",
             "submit again in a moment; operators check the table service and the other entries"});
        return false;
    }
    return true;
}

std::vector<placement_candidate> job_runner::candidates(absl::Time now) const
{
    const configuration_ptr current = context_.dependencies.configuration->current();
    const dispatch_template* latest =
        current->find_template(plan_.declaration.client_account, plan_.declaration.name);
    auto found = select_candidates(*context_.dependencies.registry, *current,
                                   latest == nullptr ? plan_.declaration : *latest, context_.health,
                                   context_.settings, now);
    std::erase_if(found, [&](const placement_candidate& candidate) {
        const auto avoided = avoided_.find(candidate.info->name());
        return avoided != avoided_.end() && now < avoided->second;
    });
    return found;
}

// Prefers tasks that have never been placed; the others consume the retry budget.
std::vector<std::uint32_t> job_runner::choose_tasks(std::uint32_t wanted, absl::Time now)
{
    std::vector<std::uint32_t> first;
    std::vector<std::uint32_t> again;
    std::uint32_t index = 0;
    for (const task_entry& task : job_.tasks()) {
        if (task.phase == task_phase::waiting) {
            (task.attempt == 0 ? first : again).push_back(index);
        }
        ++index;
    }
    first.resize(std::min<std::size_t>(first.size(), wanted));
    const auto retries = std::min<std::size_t>(again.size(), wanted - first.size());
    const std::uint32_t allowed =
        retries == 0 ? 0 : context_.retries.take(static_cast<std::uint32_t>(retries), now);
    if (allowed < retries) {
        set_blocked({error_kind::overloaded, "too many tasks were refused by agents",
                     "submit again later"});
    }
    first.insert(first.end(), again.begin(), again.begin() + allowed);
    return first;
}

std::vector<start_batch> job_runner::assign(const std::vector<placement_candidate>& candidates,
                                            const std::vector<std::uint32_t>& counts,
                                            const std::vector<std::uint32_t>& tasks,
                                            absl::Time now) const
{
    std::vector<start_batch> batches;
    auto next = tasks.begin();
    for (std::size_t i = 0; i < candidates.size() && next != tasks.end(); ++i) {
        if (counts[i] == 0 || !context_.health.take_probe(candidates[i].info->name(), now)) {
            continue;
        }
        start_batch batch;
        batch.agent = candidates[i].info;
        for (std::uint32_t n = 0; n < counts[i] && next != tasks.end(); ++n, ++next) {
            batch.tasks.push_back(attempt_of(*next, 0));
        }
        batches.push_back(std::move(batch));
    }
    return batches;
}

bool job_runner::hold_claim(const std::vector<start_batch>& batches, std::uint64_t& view)
{
    std::vector<rpc::agent_ref> planned;
    planned.reserve(batches.size());
    for (const start_batch& batch : batches) {
        planned.push_back(ref_of(*batch.agent));
    }
    const auto held = claim_.hold(planned, call_timeout(context_.settings.claim_call_timeout));
    if (held) {
        view = held.value();
        block_reason_.reset();
        return true;
    }
    for (const start_batch& batch : batches) {
        context_.health.release_probe(batch.agent->name());
    }
    ownership_moved_ = held.error().kind == error_kind::stale_view;
    set_blocked(held.error());
    return false;
}

void job_runner::start(std::vector<start_batch>& batches, std::uint64_t view)
{
    attempt_accounting accounting(context_);
    for (start_batch& batch : batches) {
        const rpc::agent_ref agent = ref_of(*batch.agent);
        std::uint32_t first_starts = 0;
        for (rpc::task_attempt& task : batch.tasks) {
            task.set_attempt(job_.open_attempt(task.index(), agent));
            first_starts += task.attempt() == 1 ? 1 : 0;
        }
        accounting.opened(agent, static_cast<std::uint32_t>(batch.tasks.size()));
        context_.retries.add_first_starts(first_starts);
    }
    std::vector<char> accepted(batches.size(), 1);
    context_.call_pool.for_each(batches.size(), [&](std::size_t i) {
        accepted[i] =
            calls_.start(batches[i], view, call_timeout(context_.settings.start_call_timeout)) ? 1
                                                                                               : 0;
    });
    const absl::Time until = context_.now() + context_.settings.refused_agent_pause;
    for (std::size_t i = 0; i < batches.size(); ++i) {
        if (accepted[i] == 0) {
            avoided_[batches[i].agent->name()] = until;
        }
    }
}

void job_runner::revoke(const std::function<bool(const task_entry&)>& chosen,
                        absl::Duration timeout)
{
    struct agent_batch {
        rpc::agent_ref agent;
        std::vector<rpc::task_attempt> tasks;
    };
    std::map<std::string, agent_batch> by_agent;
    std::uint32_t index = 0;
    for (const task_entry& task : job_.tasks()) {
        if (task.is_open() && chosen(task)) {
            agent_batch& batch =
                by_agent[absl::StrCat(task.agent.name(), "\n", task.agent.incarnation())];
            batch.agent = task.agent;
            batch.tasks.push_back(attempt_of(index, task.attempt));
        }
        ++index;
    }
    std::vector<agent_batch> batches;
    batches.reserve(by_agent.size());
    for (auto& [name, batch] : by_agent) {
        batches.push_back(std::move(batch));
    }
    context_.call_pool.for_each(batches.size(), [&](std::size_t i) {
        calls_.revoke(batches[i].agent, batches[i].tasks, timeout);
    });
}

void job_runner::wind_down()
{
    const auto all = [](const task_entry&) { return true; };
    const auto unsettled = [](const task_entry& task) { return !task.started; };
    const auto remaining = [&] { return answer_time_ - context_.now(); };
    if (job_.progress().open == 0) {
        return;
    }
    revoke(all, call_timeout(context_.settings.revoke_call_timeout));
    // Started tasks can't be stopped, so this waits for their results.
    bool queried_last = context_.now() >= stop_time_;
    while (job_.progress().open > 0 && remaining() > absl::ZeroDuration()) {
        const std::uint64_t seen = job_.events();
        close_lost_attempts();
        job_.wait_for_event(seen, std::min(context_.settings.event_wait_timeout, remaining()));
        if (remaining() <= absl::ZeroDuration()) {
            return;
        }
        const bool last = !queried_last && context_.now() >= stop_time_;
        queried_last = queried_last || last;
        // Reports may have been lost, so the last revoke also queries the started tasks.
        const absl::Duration timeout = call_timeout(context_.settings.revoke_call_timeout);
        last ? revoke(all, timeout) : revoke(unsettled, timeout);
    }
}

// Ends a job that has started nothing. The refusal is returned to the callers, but not recorded.
bool job_runner::end_without_claim(const rpc::submission_answer& refusal)
{
    const bool confirmed = is_confirmed(*context_.dependencies.owner, job_.key(), context_.now());
    claim_.withdraw();
    if (ownership_moved_ || !claim_.owns_key()) {
        context_.table.remove(plan_.running);
        return false;
    }
    if (confirmed) {
        context_.table.discard(plan_.running, refusal);
    } else {
        context_.table.discard(plan_.running, unconfirmed_view());
    }
    return true;
}

void job_runner::record_run_time(const task_entry& task)
{
    if (!task.result || !task.result->success()) {
        return;
    }
    const dispatch_template& declaration = plan_.declaration;
    context_.run_averages.record(declaration.client_account, declaration.name,
                                 declaration.expected_run,
                                 absl::Milliseconds(task.result->run_ms()), context_.now());
}

// A recorded refusal is returned to resubmissions for as long as it is retained. It needs a claim:
// without one, the owner of the key in a later view could run the submission meanwhile.
bool job_runner::hold_claim_of_answer()
{
    if (!claim_.held_once()) {
        const auto held = claim_.hold({}, call_timeout(context_.settings.claim_call_timeout));
        ownership_moved_ = !held && held.error().kind == error_kind::stale_view;
    }
    return claim_.held_once();
}

bool job_runner::record_answer()
{
    attempt_accounting accounting(context_);
    std::uint32_t index = 0;
    for (const task_entry& task : job_.tasks()) {
        accounting.closed(job_.key(), job_.mark_lost(index, task.attempt, false), context_.now());
        record_run_time(task);
        ++index;
    }
    context_.limits.drop_queued(job_.key().client_account, job_.progress().waiting);
    rpc::submission_answer answer = answer_for(job_, failure_reason());
    if (!hold_claim_of_answer()) {
        return end_without_claim(answer);
    }
    claim_.set_answered(answer);
    LOG(INFO) << log_fields("submission_answered")
                     .add("submission", to_string(job_.key()))
                     .add("request_id", plan_.request.request_id())
                     .add("state", rpc::submission_state_Name(answer.state()))
                     .add("error", answer.error_kind())
                     .add("finished", answer.tasks_finished())
                     .add("tasks", answer.task_count());
    context_.table.record(plan_.running, std::move(answer));
    return true;
}

bool job_runner::may_rerun() const
{
    return plan_.declaration.idempotent && plan_.declaration.rerun_lost;
}

bool job_runner::is_silent(const rpc::agent_ref& agent, absl::Time now) const
{
    const auto state = context_.dependencies.registry->find(agent);
    return !state || now - state->last_beat > context_.settings.heartbeat_timeout;
}

absl::Duration job_runner::call_timeout(absl::Duration timeout) const
{
    return std::clamp(answer_time_ - context_.now(), absl::Milliseconds(1), timeout);
}

absl::Duration job_runner::next_wait() const
{
    const job_progress progress = job_.progress();
    absl::Duration wait = context_.settings.event_wait_timeout;
    if (progress.uncertain > 0 || (progress.waiting > 0 && block_reason_ && !waits_for_slot_)) {
        wait = context_.settings.call_retry_pause;
    }
    if (progress.waiting > 0) {
        wait = std::min(wait, context_.settings.grant_retry_pause);
    }
    return std::clamp(stop_time_ - context_.now(), absl::ZeroDuration(), wait);
}

std::optional<error> job_runner::failure_reason() const
{
    const job_progress progress = job_.progress();
    if (progress.finished == job_.task_count()) {
        return std::nullopt;
    }
    if (job_.cancel_requested()) {
        return error{error_kind::cancelled, "the submission was cancelled",
                     "see the outcome of each task"};
    }
    if (progress.failed > 0) {
        return std::nullopt;
    }
    if (block_reason_ && progress.waiting == job_.task_count()) {
        return block_reason_;
    }
    if (context_.now() < stop_time_) {
        return std::nullopt;
    }
    return error{error_kind::deadline_exceeded, "not all tasks finished before the deadline",
                 "submit the tasks with not_run again under a new id and with a later deadline"};
}

} // namespace carobfall
