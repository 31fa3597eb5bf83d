#pragma once

#include "carobfall/base/error.h"
#include "carobfall/base/ids.h"
#include "carobfall/dispatch/job.h"
#include "carobfall/entry/ownership.h"

#include <optional>
#include <vector>

namespace carobfall {

/// Builds the final answer of a submission: either complete, with the result of every task, or
/// failed, with the reason and the outcome of every task.
class answer_builder {
public:
    explicit answer_builder(const submission_key& key, std::uint32_t task_count);

    /// Makes the answer failed with this reason. Only the first call has an effect.
    answer_builder& fail(error reason);
    answer_builder& outcome(std::uint32_t index, rpc::task_outcome outcome);
    answer_builder& ran(std::uint32_t index, const rpc::task_result& result,
                        const std::string& agent);

    /// The answer is complete if every task succeeded and `fail` was not called.
    [[nodiscard]] rpc::submission_answer build() const;

private:
    rpc::submission_answer answer_;
    std::optional<error> reason_;
};

/// True while this entry coordinates the key and no other entry can have started its submission. If
/// false, the entry must not report `not_run`: it may have been paused or cut off, or the key may
/// belong to another entry in a later view.
[[nodiscard]] bool is_confirmed(const ownership& owner, const submission_key& key, absl::Time now);

/// Error returned instead of `not_run` while `is_confirmed` is false. It doesn't state whether
/// tasks have run.
[[nodiscard]] error unconfirmed_view();

/// Error returned while the entry can't determine the state of the submission yet.
[[nodiscard]] error recovering(std::string message);

/// Returns a failed answer with the outcome `not_run` for every task.
[[nodiscard]] rpc::submission_answer answer_not_run(const submission_key& key,
                                                    std::uint32_t task_count, const error& reason);

/// Returns an answer in state running with the number of finished tasks, without results.
[[nodiscard]] rpc::submission_answer answer_running(const job& running);

/// Builds the answer from the current phases of the tasks. A waiting task has not run; a task with
/// an open or lost attempt may have run.
[[nodiscard]] rpc::submission_answer answer_for(const job& finished,
                                                const std::optional<error>& reason);

/// Builds the answer for a submission that is known only from records of agents. The answer is
/// failed, because records of other agents may be missing.
[[nodiscard]] rpc::submission_answer answer_from_records(const rpc::claim& claim,
                                                         std::uint32_t task_count);

/// Encodes an error as an answer in state unknown, for replies to other entries.
[[nodiscard]] rpc::submission_answer encode_error(const submission_key& key, const error& failed);

/// Inverse of `encode_error`; returns any other answer unchanged.
[[nodiscard]] result<rpc::submission_answer> decode_error(rpc::submission_answer answer);

} // namespace carobfall
