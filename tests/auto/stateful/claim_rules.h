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

/// What complete entries have to know of the submissions that have started. An entry that lacks a
/// claim would start the submission again, even if no client happens to send it again.
class claim_rules {
public:
    /// A start request of a coordinator in the view reaches an agent.
    void on_start_request(const rpc::start_request& request, std::uint64_t view_number);
    /// A backend server gets the task.
    void on_start(const startable_task& task);
    /// Describes the first broken rule; empty if every rule holds.
    [[nodiscard]] std::string violation(const std::vector<std::shared_ptr<entry_process>>& entries,
                                        absl::Time now) const;

private:
    struct started_submission {
        std::uint64_t view_number{0};
        absl::Time deadline;
    };

    [[nodiscard]] std::string check_known(const entry_process& entry,
                                          const ownership_snapshot& snapshot, absl::Time now) const;

    std::map<std::pair<task_key, std::uint32_t>, std::uint64_t> sent_; ///< view by task and attempt
    std::map<submission_key, started_submission> started_;
};

} // namespace carobfall::stateful
