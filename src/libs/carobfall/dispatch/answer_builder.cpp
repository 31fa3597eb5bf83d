#include "carobfall/dispatch/answer_builder.h"

#include "carobfall/entry/rendezvous.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace carobfall {
namespace {

error reason_from_tasks(const rpc::submission_answer& answer)
{
    for (const rpc::task_answer& task : answer.tasks()) {
        if (task.outcome() == rpc::outcome_ran && !task.result().success()) {
            return {error_kind::task_failed,
                    absl::StrCat("task ", task.index(), " failed: ", task.result().error_message()),
                    "see the result of the task; correct its payload or the backend server"};
        }
    }
    return {error_kind::task_lost, "the results of some tasks are not available",
            "see the outcome of each task; only tasks with not_run are safe to submit again"};
}

bool all_succeeded(const rpc::submission_answer& answer)
{
    return std::all_of(answer.tasks().begin(), answer.tasks().end(),
                       [](const rpc::task_answer& task) {
                           return task.outcome() == rpc::outcome_ran && task.result().success();
                       });
}

} // namespace

answer_builder::answer_builder(const submission_key& key, std::uint32_t task_count)
{
    *answer_.mutable_key() = to_message(key);
    answer_.set_task_count(task_count);
    for (std::uint32_t index = 0; index < task_count; ++index) {
        answer_.add_tasks()->set_index(index);
    }
}

answer_builder& answer_builder::fail(error reason)
{
    if (!reason_) {
        reason_ = std::move(reason);
    }
    return *this;
}

answer_builder& answer_builder::outcome(std::uint32_t index, rpc::task_outcome outcome)
{
    answer_.mutable_tasks(static_cast<int>(index))->set_outcome(outcome);
    return *this;
}

answer_builder& answer_builder::ran(std::uint32_t index, const rpc::task_result& result,
                                    const std::string& agent)
{
    rpc::task_answer* task = answer_.mutable_tasks(static_cast<int>(index));
    task->set_outcome(rpc::outcome_ran);
    *task->mutable_result() = result;
    task->set_agent(agent);
    answer_.set_tasks_finished(answer_.tasks_finished() + 1);
    return *this;
}

rpc::submission_answer answer_builder::build() const
{
    rpc::submission_answer answer = answer_;
    if (!reason_ && all_succeeded(answer)) {
        answer.set_state(rpc::submission_complete);
        return answer;
    }
    const error reason = reason_ ? *reason_ : reason_from_tasks(answer);
    answer.set_state(rpc::submission_failed);
    answer.set_error_kind(std::string(name_of(reason.kind)));
    answer.set_error_message(reason.message);
    answer.set_error_remedy(reason.remedy);
    return answer;
}

bool is_confirmed(const ownership& owner, const submission_key& key, absl::Time now)
{
    const ownership_snapshot snapshot = owner.snapshot();
    return snapshot.usable() && now < snapshot.confirmed_until &&
           same_incarnation(*coordinator_of(snapshot.view, key), owner.self());
}

error recovering(std::string message)
{
    return {error_kind::recovering, std::move(message),
            "submit again in a moment with the same id"};
}

error unconfirmed_view()
{
    return {error_kind::recovering, "this entry can't confirm that it still owns the submission",
            "submit again in a moment with the same id; nothing runs twice"};
}

rpc::submission_answer answer_not_run(const submission_key& key, std::uint32_t task_count,
                                      const error& reason)
{
    return answer_builder(key, task_count).fail(reason).build();
}

rpc::submission_answer answer_running(const job& running)
{
    rpc::submission_answer answer;
    *answer.mutable_key() = to_message(running.key());
    answer.set_state(rpc::submission_running);
    answer.set_task_count(running.task_count());
    answer.set_tasks_finished(running.progress().finished);
    return answer;
}

rpc::submission_answer answer_for(const job& finished, const std::optional<error>& reason)
{
    answer_builder builder(finished.key(), finished.task_count());
    if (reason) {
        builder.fail(*reason);
    }
    std::uint32_t index = 0;
    for (const task_entry& task : finished.tasks()) {
        if (task.phase == task_phase::finished) {
            builder.ran(index, *task.result, task.agent.name());
            if (task.result_too_long) {
                builder.fail(
                    {error_kind::payload_too_large,
                     absl::StrCat("task ", index, ": ", task.result->error_message()),
                     "shorten the results or have max_result_bytes of the template raised"});
            }
        } else if (task.phase != task_phase::waiting || task.earlier_attempt_lost) {
            builder.outcome(index, rpc::outcome_may_have_run);
        }
        ++index;
    }
    return builder.build();
}

rpc::submission_answer answer_from_records(const rpc::claim& claim, std::uint32_t task_count)
{
    answer_builder builder(from_message(claim.submission()), task_count);
    builder.fail({error_kind::task_lost,
                  "the submission was accepted earlier and its coordinator is gone",
                  "it doesn't run again under this id; submit under a new id if the tasks may run "
                  "twice"});
    for (std::uint32_t index = 0; index < task_count; ++index) {
        builder.outcome(index, rpc::outcome_may_have_run);
    }
    for (const rpc::record_summary& record : claim.records()) {
        if (record.index() < task_count && record.state() == rpc::task_state_finished) {
            builder.outcome(record.index(), rpc::outcome_ran);
        }
    }
    return builder.build();
}

rpc::submission_answer encode_error(const submission_key& key, const error& failed)
{
    rpc::submission_answer answer;
    *answer.mutable_key() = to_message(key);
    answer.set_error_kind(std::string(name_of(failed.kind)));
    answer.set_error_message(failed.message);
    answer.set_error_remedy(failed.remedy);
    return answer;
}

result<rpc::submission_answer> decode_error(rpc::submission_answer answer)
{
    if (answer.state() != rpc::submission_unknown || answer.error_kind().empty()) {
        return answer;
    }
    const auto kind = error_kind_from_name(answer.error_kind());
    return failure(kind.value_or(error_kind::internal), answer.error_message(),
                   answer.error_remedy());
}

} // namespace carobfall
