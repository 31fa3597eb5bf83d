#pragma once

#include "carobfall/base/ids.h"
#include "carobfall/rpc/carobfall.pb.h"

#include <absl/time/time.h>

#include <cstdint>
#include <memory>
#include <string>

namespace carobfall {

/// Fields that the tasks of one start request have in common. Shared by their records.
struct start_context {
    std::int64_t deadline_unix_ms{0};
    std::string request_path;
    std::string parameters_json;
    rpc::entry_member coordinator;
};

/// State of one task on this agent.
struct task_record {
    std::uint32_t attempt{0};
    rpc::task_state state{rpc::task_state_unknown};
    rpc::refusal_reason reason{rpc::refusal_none};
    absl::Time started_at;
    std::shared_ptr<const start_context> context; ///< while queued or started
    std::string payload;                          ///< while queued
    std::unique_ptr<rpc::task_result> result;     ///< when finished, until dropped to limit memory

    [[nodiscard]] bool is_tombstone() const;
    [[nodiscard]] bool has_started() const; ///< `started` or `finished`

    /// Changes the record to `refused` or `revoked`; the task can't run in this attempt any more.
    /// Releases the context and the payload.
    void make_tombstone(std::uint32_t new_attempt, rpc::task_state new_state,
                        rpc::refusal_reason refusal);

    /// The record as a message. A dropped result is replaced by a failure that explains it.
    [[nodiscard]] rpc::task_status status(std::uint32_t index) const;
};

/// Status of a task that has no record.
[[nodiscard]] rpc::task_status status_without_record(std::uint32_t index, std::uint32_t attempt,
                                                     rpc::task_state state,
                                                     rpc::refusal_reason reason);

/// A task taken from the queue to be run. The ledger has recorded it as started.
struct startable_task {
    task_key key;
    std::uint32_t attempt{0};
    std::shared_ptr<const start_context> context;
    std::string payload;
};

/// A state change to be reported to the coordinator. The content is read from the ledger when the
/// report is sent, so that results are stored only once.
struct pending_report {
    task_key key;
    std::uint32_t attempt{0};
    rpc::entry_member coordinator;
    absl::Time expires_at;
};

} // namespace carobfall
