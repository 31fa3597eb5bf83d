#pragma once

#include "carobfall/base/error.h"
#include "carobfall/base/ids.h"
#include "carobfall/dispatch/job.h"
#include "carobfall/entry/ownership.h"

#include <optional>
#include <vector>

namespace carobfall {

/// Builds the whole answer of a submission. An answer is complete, with the result of every task,
/// or failed, with the reason and the outcome of every task.
class answer_builder {
public:
    explicit answer_builder(const submission_key& key, std::uint32_t task_count);

    /// The reason, should the answer not be complete; the first one given counts.
    answer_builder& fail(error reason);
    answer_builder& outcome(std::uint32_t index, rpc::task_outcome outcome);
    answer_builder& ran(std::uint32_t index, const rpc::task_result& result,
                        const std::string& agent);

    /// Complete if every task ran with success and no reason was given.
    [[nodiscard]] rpc::submission_answer build() const;

private:
    rpc::submission_answer answer_;
    std::optional<error> reason_;
};

/// True while this entry coordinates the key and no other one can have started its submission.
/// Without it an entry that has been paused or cut off, or that has lost the key to another in a
/// later view, must not say `not_run`.
[[nodiscard]] bool is_confirmed(const ownership& owner, const submission_key& key, absl::Time now);

/// Given in place of `not_run` while the view isn't confirmed; says nothing about the tasks.
[[nodiscard]] error unconfirmed_view();

/// Given while the entry doesn't know yet what became of the submission.
[[nodiscard]] error recovering(std::string message);

/// Answer in state failed in which no task has run.
[[nodiscard]] rpc::submission_answer answer_not_run(const submission_key& key,
                                                    std::uint32_t task_count, const error& reason);

/// Answer in state running.
[[nodiscard]] rpc::submission_answer answer_running(const job& running);

/// The answer for the tasks as they stand: a waiting task has not run, one with an open or lost
/// attempt may have.
[[nodiscard]] rpc::submission_answer answer_for(const job& finished,
                                                const std::optional<error>& reason);

/// Answer for a submission of which only records of agents are known: failed, since the records
/// of other agents may be missing.
[[nodiscard]] rpc::submission_answer answer_from_records(const rpc::claim& claim,
                                                         std::uint32_t task_count);

/// Carries an error result in an answer, in state unknown, for replies to other entries.
[[nodiscard]] rpc::submission_answer encode_error(const submission_key& key, const error& failed);

/// Inverse of `encode_error`; any other answer is returned as it is.
[[nodiscard]] result<rpc::submission_answer> decode_error(rpc::submission_answer answer);

} // namespace carobfall
