#pragma once

#include "carobfall/base/ids.h"
#include "carobfall/rpc/carobfall.pb.h"

#include <absl/time/time.h>

#include <cstdint>
#include <memory>
#include <string>

namespace carobfall {

/// What the tasks of one start request have in common. Shared by their records.
struct start_context {
    std::int64_t deadline_unix_ms{0};
    std::string request_path;
    std::string parameters_json;
    rpc::entry_member coordinator;
};

/// The agent's knowledge of one task.
struct task_record {
    std::uint32_t attempt{0};
    rpc::task_state state{rpc::task_state_unknown};
    rpc::refusal_reason reason{rpc::refusal_none};
    absl::Time started_at;
    std::shared_ptr<const start_context> context; ///< while queued or started
    std::string payload;                          ///< while queued
    std::unique_ptr<rpc::task_result> result;     ///< when finished, until dropped for space

    [[nodiscard]] bool is_tombstone() const;
    [[nodiscard]] bool has_started() const; ///< also when it has finished

    /// Changes the record to `refused` or `revoked`; the task can't run in this attempt any more.
    void make_tombstone(std::uint32_t by_attempt, rpc::task_state tombstone,
                        rpc::refusal_reason why);

    /// The record as a message. A result that was dropped is replaced by an explanation.
    [[nodiscard]] rpc::task_status status(std::uint32_t index) const;
};

/// Status of a task for which no record is kept.
[[nodiscard]] rpc::task_status status_without_record(std::uint32_t index, std::uint32_t attempt,
                                                     rpc::task_state state,
                                                     rpc::refusal_reason reason);

/// A task handed out to be run. The ledger has recorded it as started.
struct startable_task {
    task_key key;
    std::uint32_t attempt{0};
    std::shared_ptr<const start_context> context;
    std::string payload;
};

/// A state that the coordinator has to be told. The content is read from the ledger at the time of
/// sending, so that results are held in one place.
struct pending_report {
    task_key key;
    std::uint32_t attempt{0};
    rpc::entry_member coordinator;
    absl::Time expires_at;
};

} // namespace carobfall
