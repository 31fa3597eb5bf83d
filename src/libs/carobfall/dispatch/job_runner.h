#pragma once

#include "carobfall/dispatch/agent_calls.h"
#include "carobfall/dispatch/claim_registration.h"
#include "carobfall/dispatch/dispatch_context.h"

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <string>
#include <vector>

namespace carobfall {

/// Runs one admitted job from the claim to the recorded answer, on the calling thread.
class job_runner {
public:
    job_runner(dispatch_context& context, job_plan plan);

    /// Returns true once the answer has been recorded, at the latest at the deadline. Returns false
    /// if the ownership moved before the claim was held: nothing was started, the submission has
    /// been removed from the table, and the caller has to forward it to its new owner.
    bool run();

private:
    [[nodiscard]] bool must_stop() const;
    void close_lost_attempts();
    void revoke_uncertain();
    void place_waiting();
    void wind_down();
    void record_run_time(const task_entry& task);
    bool record_answer();
    bool hold_claim_of_answer();
    bool end_without_claim(const rpc::submission_answer& refusal);

    [[nodiscard]] bool may_start_now(absl::Time now);
    [[nodiscard]] std::vector<placement_candidate> candidates(absl::Time now) const;
    std::vector<std::uint32_t> choose_tasks(std::uint32_t wanted, absl::Time now);
    std::vector<start_batch> assign(const std::vector<placement_candidate>& candidates,
                                    const std::vector<std::uint32_t>& counts,
                                    const std::vector<std::uint32_t>& tasks, absl::Time now) const;
    bool hold_claim(const std::vector<start_batch>& batches, std::uint64_t& view);
    void start(std::vector<start_batch>& batches, std::uint64_t view);
    void revoke(const std::function<bool(const task_entry&)>& chosen, absl::Duration timeout);

    [[nodiscard]] bool may_rerun() const;
    [[nodiscard]] bool is_silent(const rpc::agent_ref& agent, absl::Time now) const;
    [[nodiscard]] absl::Duration call_timeout(absl::Duration timeout) const;
    [[nodiscard]] absl::Duration next_wait() const;
    [[nodiscard]] std::optional<error> failure_reason() const;
    void set_blocked(error reason) { block_reason_ = std::move(reason); }

    dispatch_context& context_;
    const job_plan plan_;
    job& job_;
    agent_calls calls_;
    claim_registration claim_;
    absl::Time stop_time_;   ///< end of placement; unfinished tasks are revoked from then on
    absl::Time answer_time_; ///< time to record the answer even if tasks are unfinished
    absl::Time next_revoke_{absl::InfinitePast()};
    std::optional<error> block_reason_; ///< why the waiting tasks can't be placed
    bool ownership_moved_{false};
    bool waits_for_slot_{false}; ///< blocked until `slot_waiters` signals a free slot
    /// Agents that refused a start or could not be reached, with the time until which this job
    /// places no tasks there.
    absl::flat_hash_map<std::string, absl::Time> avoided_;
};

} // namespace carobfall
