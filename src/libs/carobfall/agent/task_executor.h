#pragma once

#include "carobfall/agent/task_ledger.h"
#include "carobfall/backend/task_runner.h"
#include "carobfall/base/clock.h"
#include "carobfall/base/histogram.h"

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace carobfall {

/// Passes a report to the session of its coordinator. Called without a lock; must not block.
using report_sink = std::function<void(pending_report report)>;

/// Runs the startable tasks of a ledger on one thread per slot, each with its own task runner.
class task_executor {
public:
    /// `ledger` and `metrics` have to outlive the executor.
    task_executor(task_ledger& ledger, task_runner_factory make_runner, report_sink report,
                  metrics_registry& metrics, clock_function clock);
    ~task_executor();
    task_executor(const task_executor&) = delete;
    task_executor& operator=(const task_executor&) = delete;

    /// Starts threads until there is one per slot. The number of threads is never reduced; the
    /// ledger limits the number of tasks that run concurrently.
    void ensure_threads(std::size_t slots);

    /// Wakes up to `tasks` threads that wait for work.
    void notify(std::size_t tasks);

    /// Waits for the running tasks and ends the threads; queued tasks stay in the ledger.
    /// Idempotent.
    void stop();

private:
    void work();
    void run_task(startable_task task, task_runner& runner);
    void wait_for_work();
    [[nodiscard]] bool stopping() const;

    task_ledger& ledger_;
    const task_runner_factory make_runner_;
    const report_sink report_;
    metrics_registry& metrics_;
    const clock_function clock_;

    mutable std::mutex mutex_;
    std::condition_variable work_available_;
    std::size_t wakeups_{0};
    bool stopping_{false};
    std::vector<std::thread> threads_;
};

} // namespace carobfall
