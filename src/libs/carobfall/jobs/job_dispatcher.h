#pragma once

#include "carobfall/base/event_log.h"
#include "carobfall/base/histogram.h"
#include "carobfall/jobs/active_job.h"
#include "carobfall/jobs/admission_shares.h"
#include "carobfall/jobs/entry_service.h"
#include "carobfall/jobs/job_log.h"
#include "carobfall/jobs/job_request.h"
#include "carobfall/jobs/job_timing.h"
#include "carobfall/jobs/placement_explanation.h"
#include "carobfall/jobs/run_time_estimator.h"
#include "carobfall/jobs/task_placement.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace carobfall {

/// Runs jobs. Places the tasks of a job on agents, and again when an agent returns them or is lost.
/// Ends the job when its answer is known or its caller has left.
class job_dispatcher {
public:
    job_dispatcher(const boost::asio::any_io_executor& executor, entry_service& agents,
                   event_log& log, metrics_registry& metrics, placement_settings settings = {});

    /// Sets how routes share the room while jobs are refused; without a value, shares are off.
    void configure_admission(std::optional<admission_settings> settings)
    {
        shares_.configure(std::move(settings));
    }
    /// Creates the job; `run` returns its answer.
    [[nodiscard]] std::shared_ptr<active_job> create(job_request request);
    boost::asio::awaitable<job_answer> run(std::shared_ptr<active_job> job);
    /// Marks the caller as gone. `run` then withdraws the waiting tasks and stops the runs.
    void abandon(active_job& job);
    /// Cancels the job with this id. Returns false if there is none.
    bool cancel(const std::string& id);
    [[nodiscard]] std::size_t active_jobs() const { return jobs_.size(); }
    /// Whether a job with this id is in progress.
    [[nodiscard]] bool is_active(const std::string& id) const { return jobs_.contains(id); }
    /// Number of jobs of the route without any ordered task.
    [[nodiscard]] std::size_t pending(const std::string& route) const;
    /// Returns what would be done with the job if it arrived at `now`. Changes nothing. `random`
    /// returns a value from 0 to 1; the generator of the dispatcher is not used.
    [[nodiscard]] placement_explanation explain(const job_request& request,
                                                const std::function<double()>& random,
                                                absl::Time now) const;

private:
    boost::asio::awaitable<void> wait_for_predecessor(active_job& job);
    boost::asio::awaitable<job_answer> end(std::shared_ptr<active_job> job, job_outcome outcome,
                                           std::string reason);
    /// Returns the answer of a job that is refused, or nothing if the job is admitted.
    [[nodiscard]] std::optional<job_answer>
    check_admission(const active_job& job, const job_placement& placement, absl::Time now);
    /// Chooses agents for the unplaced tasks of the job.
    [[nodiscard]] job_placement choose_agents(const active_job& job, absl::Time now);
    void place(active_job& job, const job_placement& placement, absl::Time now);
    /// `next`: number of the task in the placement.
    [[nodiscard]] bool order_task(active_job& job, std::uint32_t index, const std::string& agent,
                                  const job_placement& placement, std::size_t next, absl::Time now);
    void on_event(const std::string& agent, const fleet::task_event& event);
    void on_lost(const std::string& agent, absl::Time last_frame_at);
    void on_past_runs_ended(const std::string& agent);
    boost::asio::awaitable<void> remove_when_ended(std::shared_ptr<active_job> job);
    void remove(const std::string& id);
    void release_lost_tasks(active_job& job, absl::Time now);
    [[nodiscard]] absl::Time next_check(const active_job& job) const;
    job_answer refuse(const active_job& job, std::string reason, absl::Duration retry_after);
    double random() { return distribution_(generator_); }

    boost::asio::any_io_executor executor_;
    entry_service& agents_;
    event_log& log_;
    metrics_registry& metrics_;
    placement_settings settings_;
    job_log job_log_;
    run_time_estimator run_times_;
    admission_shares shares_;
    absl::Time last_immediate_start_{absl::InfinitePast()}; ///< when a job could last start at once
    absl::flat_hash_map<std::string, std::shared_ptr<active_job>> jobs_;
    std::mt19937_64 generator_{std::random_device{}()};
    std::uniform_real_distribution<double> distribution_{0.0, 1.0};
};

} // namespace carobfall
