#include "carobfall/dispatch/job.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace carobfall {

bool task_entry::is_open() const
{
    return phase == task_phase::starting || phase == task_phase::accepted ||
           phase == task_phase::uncertain;
}

job::job(submission_key key, std::string body_hash, absl::Time deadline, std::uint32_t task_count)
    : key_(std::move(key)),
      body_hash_(std::move(body_hash)),
      deadline_(deadline),
      task_count_(task_count),
      tasks_(task_count)
{
    progress_.waiting = task_count;
}

std::uint32_t job::open_attempt(std::uint32_t index, const rpc::agent_ref& agent)
{
    const std::lock_guard lock(mutex_);
    task_entry& task = tasks_[index];
    set_phase(task, task_phase::starting);
    task.started = false;
    task.agent = agent;
    return ++task.attempt;
}

std::optional<closed_attempt> job::apply(const rpc::task_status& status)
{
    const std::lock_guard lock(mutex_);
    task_entry* task = find_open(status.index(), status.attempt());
    if (task == nullptr) {
        return std::nullopt;
    }
    switch (status.state()) {
    case rpc::task_state_finished:
        store_result(*task, status.result());
        return close(*task, task_phase::finished, status);
    case rpc::task_state_refused:
        // The refusal of a duplicate doesn't tell whether the first message started the task.
        if (status.reason() == rpc::refusal_duplicate) {
            set_phase(*task, task_phase::uncertain);
            notify_event();
            return std::nullopt;
        }
        return close(*task, task_phase::waiting, status);
    case rpc::task_state_revoked:
        return close(*task, task_phase::waiting, status);
    case rpc::task_state_started:
        task->started = true;
        set_phase(*task, task_phase::accepted);
        return std::nullopt;
    case rpc::task_state_queued:
        set_phase(*task, task_phase::accepted);
        return std::nullopt;
    default:
        return std::nullopt;
    }
}

void job::set_max_result_bytes(std::uint32_t bytes)
{
    const std::lock_guard lock(mutex_);
    max_result_bytes_ = bytes;
}

void job::store_result(task_entry& task, const rpc::task_result& result) const
{
    const std::size_t bytes = result.body().size();
    task.result_too_long = result.success() && bytes > max_result_bytes_;
    if (!task.result_too_long) {
        task.result = std::make_shared<const rpc::task_result>(result);
        return;
    }
    rpc::task_result shortened;
    shortened.set_backend_status(result.backend_status());
    shortened.set_run_ms(result.run_ms());
    shortened.set_error_message(absl::StrCat("the result has ", bytes,
                                             " bytes, and the template's "
                                             "max_result_bytes is ",
                                             max_result_bytes_));
    task.result = std::make_shared<const rpc::task_result>(std::move(shortened));
}

void job::mark_uncertain(std::uint32_t index, std::uint32_t attempt)
{
    const std::lock_guard lock(mutex_);
    task_entry* task = find_open(index, attempt);
    if (task != nullptr && task->phase == task_phase::starting) {
        set_phase(*task, task_phase::uncertain);
        notify_event();
    }
}

std::optional<closed_attempt> job::mark_unsent(std::uint32_t index, std::uint32_t attempt)
{
    const std::lock_guard lock(mutex_);
    task_entry* task = find_open(index, attempt);
    if (task == nullptr || task->phase != task_phase::starting) {
        return std::nullopt;
    }
    return close(*task, task_phase::waiting, {});
}

std::optional<closed_attempt> job::mark_lost(std::uint32_t index, std::uint32_t attempt, bool rerun)
{
    const std::lock_guard lock(mutex_);
    task_entry* task = find_open(index, attempt);
    if (task == nullptr) {
        return std::nullopt;
    }
    task->earlier_attempt_lost = true;
    return close(*task, rerun ? task_phase::waiting : task_phase::lost, {});
}

job_progress job::progress() const
{
    const std::lock_guard lock(mutex_);
    return progress_;
}

std::vector<task_entry> job::tasks() const
{
    const std::lock_guard lock(mutex_);
    return tasks_;
}

void job::request_cancel()
{
    const std::lock_guard lock(mutex_);
    cancel_requested_ = true;
    notify_event();
}

bool job::cancel_requested() const
{
    const std::lock_guard lock(mutex_);
    return cancel_requested_;
}

std::uint64_t job::events() const
{
    const std::lock_guard lock(mutex_);
    return events_;
}

void job::wait_for_event(std::uint64_t seen, absl::Duration timeout)
{
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, absl::ToChronoMicroseconds(timeout), [&] { return events_ != seen; });
}

void job::wake()
{
    const std::lock_guard lock(mutex_);
    notify_event();
}

void job::finish(result<rpc::submission_answer> answer)
{
    const std::lock_guard lock(mutex_);
    if (!answer_) {
        answer_.emplace(std::move(answer));
        notify_event();
    }
}

std::optional<result<rpc::submission_answer>> job::wait_for_answer(absl::Duration timeout)
{
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, absl::ToChronoMicroseconds(timeout),
                      [&] { return answer_.has_value(); });
    return answer_;
}

task_entry* job::find_open(std::uint32_t index, std::uint32_t attempt)
{
    if (answer_ || index >= tasks_.size()) {
        return nullptr;
    }
    task_entry& task = tasks_[index];
    return task.is_open() && task.attempt == attempt ? &task : nullptr;
}

void job::set_phase(task_entry& task, task_phase phase)
{
    const auto count = [&](std::uint32_t step) {
        progress_.open += task.is_open() ? step : 0;
        progress_.waiting += task.phase == task_phase::waiting ? step : 0;
        progress_.uncertain += task.phase == task_phase::uncertain ? step : 0;
        progress_.lost += task.phase == task_phase::lost ? step : 0;
        progress_.finished += task.phase == task_phase::finished ? step : 0;
    };
    count(static_cast<std::uint32_t>(-1));
    task.phase = phase;
    count(1);
}

closed_attempt job::close(task_entry& task, task_phase phase, const rpc::task_status& status)
{
    set_phase(task, phase);
    task.started = false;
    const bool failed = phase == task_phase::finished && !task.result->success();
    progress_.failed += failed ? 1 : 0;
    // A job with waiting tasks also has to act on a success, because a success frees a slot.
    if (phase != task_phase::finished || failed || progress_.open == 0 || progress_.waiting > 0) {
        notify_event();
    }
    return {task.agent, status, phase == task_phase::waiting};
}

void job::notify_event()
{
    ++events_;
    changed_.notify_all();
}

} // namespace carobfall
