#pragma once

#include "carobfall/agent/task_record.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>

namespace carobfall {

/// Storage of the task ledger: stores records by task, expires them, and limits the memory for
/// results. Not thread-safe.
class record_table {
public:
    struct submission_records {
        std::int64_t deadline_unix_ms{0}; ///< latest deadline in the requests
        absl::flat_hash_map<std::uint32_t, std::unique_ptr<task_record>> tasks;
    };
    using submission_map = absl::flat_hash_map<submission_key, submission_records>;

    explicit record_table(std::size_t max_result_bytes) : max_result_bytes_(max_result_bytes) {}

    /// The record of the task, or null. The pointer stays valid until the record expires.
    [[nodiscard]] task_record* find(const task_key& key);
    [[nodiscard]] const task_record* find(const task_key& key) const;

    /// Returns the record of the task and creates it if there is none. The record is kept at least
    /// until `record_retention` after the deadline.
    task_record& find_or_create(const task_key& key, std::int64_t deadline_unix_ms);

    /// Time at which the records of the submission expire; `InfinitePast` if it has none.
    [[nodiscard]] absl::Time expiry_of(const submission_key& key) const;

    /// Stores the result and drops the oldest results until the rest fits into `max_result_bytes`.
    /// The records of the dropped results stay.
    void store_result(const task_key& key, task_record& record, rpc::task_result result);

    /// True if records of a submission with this deadline may have been dropped.
    [[nodiscard]] static bool has_expired(std::int64_t deadline_unix_ms, absl::Time now);

    /// Drops the records whose deadline and retention have passed; returns how many. A submission
    /// with a task in state `started` keeps all its records until that task has finished.
    std::size_t expire(absl::Time now);

    [[nodiscard]] std::size_t size() const { return size_; }
    [[nodiscard]] std::size_t result_bytes() const { return result_bytes_; }
    [[nodiscard]] std::uint64_t results_dropped() const { return results_dropped_; }
    [[nodiscard]] const submission_map& submissions() const { return submissions_; }

private:
    void drop_oldest_result();
    void erase_tasks(submission_records& records);

    std::size_t max_result_bytes_;
    submission_map submissions_;
    std::deque<task_key> results_; ///< tasks with a stored result, oldest first
    std::size_t size_{0};
    std::size_t result_bytes_{0};
    std::uint64_t results_dropped_{0};
};

} // namespace carobfall
