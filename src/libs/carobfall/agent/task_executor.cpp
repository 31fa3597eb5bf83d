#include "carobfall/agent/task_executor.h"

#include "carobfall/base/log_fields.h"

#include <absl/time/clock.h>
#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace carobfall {
namespace {

/// Idle threads poll the ledger at this interval, in case a wake-up was consumed by a busy thread.
constexpr absl::Duration idle_poll_interval = absl::Seconds(1);

run_request request_of(startable_task task)
{
    run_request request;
    request.key = std::move(task.key);
    request.attempt = task.attempt;
    request.deadline_unix_ms = task.context->deadline_unix_ms;
    request.request_path = task.context->request_path;
    request.parameters_json = task.context->parameters_json;
    request.payload = std::move(task.payload);
    return request;
}

} // namespace

task_executor::task_executor(task_ledger& ledger, task_runner_factory make_runner,
                             report_sink report, metrics_registry& metrics, clock_function clock)
    : ledger_(ledger),
      make_runner_(std::move(make_runner)),
      report_(std::move(report)),
      metrics_(metrics),
      clock_(std::move(clock))
{}

task_executor::~task_executor()
{
    stop();
}

void task_executor::ensure_threads(std::size_t slots)
{
    const std::lock_guard lock(mutex_);
    while (!stopping_ && threads_.size() < slots) {
        threads_.emplace_back([this] { work(); });
    }
}

void task_executor::notify(std::size_t tasks)
{
    const std::lock_guard lock(mutex_);
    wakeups_ = std::min(wakeups_ + tasks, threads_.size());
    for (std::size_t i = 0; i < std::min(tasks, threads_.size()); ++i) {
        work_available_.notify_one();
    }
}

void task_executor::stop()
{
    std::vector<std::thread> threads;
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        work_available_.notify_all();
        threads.swap(threads_);
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
}

bool task_executor::stopping() const
{
    const std::lock_guard lock(mutex_);
    return stopping_;
}

void task_executor::work()
{
    const std::unique_ptr<task_runner> runner = make_runner_();
    while (!stopping()) {
        std::optional<startable_task> task = ledger_.take_startable(clock_());
        if (task) {
            run_task(std::move(*task), *runner);
        } else {
            wait_for_work();
        }
    }
}

void task_executor::wait_for_work()
{
    std::unique_lock lock(mutex_);
    if (wakeups_ == 0 && !stopping_) {
        work_available_.wait_for(lock, absl::ToChronoMicroseconds(idle_poll_interval));
    }
    wakeups_ -= std::min<std::size_t>(wakeups_, 1);
}

void task_executor::run_task(startable_task task, task_runner& runner)
{
    // The system clock is read first, so that a pause between the two readings shortens the time
    // in which the task may start.
    const absl::Time system_time = absl::Now();
    const absl::Time now = clock_();
    if (!ledger_.confirm_start(task, now)) {
        return;
    }
    const task_key key = task.key;
    const std::uint32_t attempt = task.attempt;
    run_request request = request_of(std::move(task));
    request.start_before = system_time + (ledger_.lease_end() - now);
    run_outcome outcome = runner.run(request, now);

    std::optional<pending_report> report;
    if (outcome.refusal == rpc::refusal_none) {
        metrics_.add(outcome.result.success() ? "tasks_run_total{result=\"success\"}"
                                              : "tasks_run_total{result=\"failure\"}");
        metrics_.distribution("task_run_ms").record(outcome.result.run_ms());
        report = ledger_.finish(key, attempt, std::move(outcome.result), clock_());
    } else {
        if (outcome.refusal == rpc::refusal_backend_unavailable) {
            // The backend server is unavailable until its next announcement; otherwise each queued
            // task would be taken and fail in turn.
            ledger_.remove_backend();
            LOG(WARNING)
                << log_fields("backend_unreachable").add("task", to_string(key.submission));
        }
        metrics_.add("tasks_unsent_total");
        report = ledger_.refuse_unsent(key, attempt, outcome.refusal, clock_());
    }
    if (report) {
        report_(std::move(*report));
    }
}

} // namespace carobfall
