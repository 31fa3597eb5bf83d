#pragma once

#include "carobfall/dispatch/agent_calls.h"
#include "carobfall/dispatch/dispatch_context.h"
#include "carobfall/dispatch/submission_queries.h"
#include "carobfall/dispatch/submission_service.h"

#include <atomic>
#include <memory>
#include <optional>
#include <string>

namespace carobfall {

class takeover;

/// Routes submissions to their coordinator and runs those that belong to this entry.
class coordinator final : public submission_service {
public:
    /// Waits for the submissions that run on its own threads. No call may be in progress, and the
    /// registry must not receive any more reports.
    ~coordinator() override;
    coordinator(const coordinator&) = delete;
    coordinator& operator=(const coordinator&) = delete;

    result<rpc::submission_answer> submit(const rpc::submission_request& request,
                                          absl::Time now) override;
    result<rpc::submission_answer> status(const submission_key& key, absl::Time now) override;
    result<rpc::submission_answer> cancel(const submission_key& key, absl::Time now) override;
    rpc::forward_reply submit_forwarded(const rpc::forward_request& request,
                                        absl::Time now) override;
    result<rpc::submission_answer> status_forwarded(const rpc::status_request& request,
                                                    absl::Time now) override;
    result<rpc::submission_answer> cancel_forwarded(const rpc::cancel_request& request,
                                                    absl::Time now) override;
    std::uint32_t retry_now(const std::string& agent, absl::Time now) override;

    /// Applies the reported results to the running jobs; report handler of `agent_registry`.
    void on_report(const rpc::report_request& request, absl::Time now);
    /// Wakes jobs that wait for a slot; free-slot handler of `agent_registry`.
    void on_slots_freed(std::uint32_t slots) { context_.waiters.signal(slots); }
    /// Takes over submissions whose coordinator has left the view. Call when a view takes effect.
    void on_view_in_effect(absl::Time now);
    /// Notifies the witnesses of answered submissions. Call several times a second.
    void deliver_notifications(absl::Time now) { context_.notifier.deliver(now); }
    /// Drops records whose retention period has passed. Call about once a second.
    void expire(absl::Time now);
    /// Refuses new submissions from now on; running ones go on.
    void begin_shutdown() { shutting_down_ = true; }
    [[nodiscard]] const backend_health& health() const { return context_.health; }
    [[nodiscard]] std::size_t running_jobs() const { return context_.table.running(); }
    /// Number of submissions that run or are queued on the coordinator's own threads. Excludes
    /// submissions that run on the callers' threads.
    [[nodiscard]] std::size_t pooled_jobs() const { return run_pool_->pending(); }

private:
    friend class coordinator_builder;
    using submission_result = result<rpc::submission_answer>;

    coordinator(dispatch_dependencies dependencies, const dispatch_settings& settings);
    submission_result route(const rpc::submission_request& request, absl::Time now);
    submission_result forward(const rpc::entry_member& target,
                              const rpc::submission_request& request, std::uint64_t view,
                              bool& may_retry);
    std::optional<submission_result> forward_to_claimant(const rpc::entry_member& claimant,
                                                         const rpc::submission_request& request);
    submission_result submit_here(const rpc::submission_request& request, absl::Time now);
    [[nodiscard]] ownership_snapshot wait_for_completeness(const rpc::submission_request& request,
                                                           absl::Time now) const;
    [[nodiscard]] bool is_new_in_view(const ownership_snapshot& snapshot,
                                      const rpc::submission_request& request, absl::Time now) const;
    std::optional<submission_result>
    submit_claimed(const rpc::claim& claim, const rpc::submission_request& request, absl::Time now);
    result<job_plan> admit(const std::shared_ptr<job>& opened,
                           const rpc::submission_request& request, absl::Time now);
    submission_result start_new(const rpc::submission_request& request, absl::Time now);
    void run_job(const job_plan& plan);
    submission_result answer_known(const submission_table::entry& known,
                                   const rpc::submission_request& request);
    submission_result wait_for(job& running, const rpc::submission_request& request);

    dispatch_context context_;
    const submission_queries queries_;
    const absl::Time started_at_;
    std::atomic<bool> shutting_down_{false};
    /// Runs takeovers and the submissions whose callers don't wait.
    std::unique_ptr<work_pool> run_pool_;
    std::unique_ptr<takeover> takeover_;
};

} // namespace carobfall
