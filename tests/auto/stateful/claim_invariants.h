#pragma once

#include "carobfall/agent/task_record.h"
#include "carobfall/entry/ownership.h"

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace carobfall::stateful {

class entry_process;

/// Invariants of the claims at complete entries. If a client resubmits a started submission, an
/// entry without its claim starts the submission again. Therefore a missing claim is already a
/// violation.
class claim_invariants {
public:
    /// Records that an agent has received the start request of a coordinator in view `view_number`.
    void on_start_request(const rpc::start_request& request, std::uint64_t view_number);
    /// Records that a backend server has received the task.
    void on_start(const startable_task& task);
    /// Describes the first violated invariant; empty if there is none.
    [[nodiscard]] std::string violation(const std::vector<std::shared_ptr<entry_process>>& entries,
                                        absl::Time now) const;

private:
    struct started_submission {
        std::uint64_t view_number{0};
        absl::Time deadline;
    };

    [[nodiscard]] std::string check_claims_held(const entry_process& entry,
                                                const ownership_snapshot& snapshot,
                                                absl::Time now) const;

    std::map<std::pair<task_key, std::uint32_t>, std::uint64_t> sent_; ///< view by task and attempt
    std::map<submission_key, started_submission> started_;
};

} // namespace carobfall::stateful
