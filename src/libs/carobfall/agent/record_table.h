#pragma once

#include "carobfall/agent/task_record.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>

namespace carobfall {

/// Storage of the task ledger: records by task, their lifetime, and the bytes of their results.
/// Not thread-safe.
class record_table {
public:
    struct submission_records {
        std::int64_t deadline_unix_ms{0}; ///< the latest one that a request named
        absl::flat_hash_map<std::uint32_t, std::unique_ptr<task_record>> tasks;
    };
    using submission_map = absl::flat_hash_map<submission_key, submission_records>;

    explicit record_table(std::size_t max_result_bytes) : max_result_bytes_(max_result_bytes) {}

    /// Null if there is none. The pointer stays valid until the record expires.
    [[nodiscard]] task_record* find(const task_key& key);
    [[nodiscard]] const task_record* find(const task_key& key) const;

    /// The record of this task, new if there was none; it is kept at least until the deadline and
    /// `record_retention` have passed.
    task_record& obtain(const task_key& key, std::int64_t deadline_unix_ms);

    /// Time at which the records of the submission are dropped.
    [[nodiscard]] absl::Time expiry_of(const submission_key& key) const;

    /// Stores the result and drops the oldest results until all fit into the bound. The records
    /// themselves stay.
    void store_result(const task_key& key, task_record& record, rpc::task_result result);

    /// Records of a submission with this deadline may have been dropped.
    [[nodiscard]] static bool has_expired(std::int64_t deadline_unix_ms, absl::Time now);

    /// Drops the records whose deadline and retention have passed; returns how many. Tasks that
    /// are started keep their submission until they have finished.
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
