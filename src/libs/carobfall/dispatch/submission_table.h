#pragma once

#include "carobfall/dispatch/job.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <variant>

namespace carobfall {

/// Error for callers of a submission whose answer is no longer retained.
[[nodiscard]] error expired_answer_error();

/// Submissions that this entry runs or has answered. Thread-safe.
///
/// An answer is retained until `record_retention` after the deadline. If all answers together
/// exceed their maximum size, the oldest are dropped first, and their submissions are kept as
/// expired.
class submission_table {
public:
    explicit submission_table(std::size_t max_answer_bytes);

    struct expired_answer {};
    using answer_ptr = std::shared_ptr<const rpc::submission_answer>;
    using state_type = std::variant<std::shared_ptr<job>, answer_ptr, expired_answer>;

    struct entry {
        std::string body_hash;
        absl::Time deadline;
        state_type state;
    };

    [[nodiscard]] std::optional<entry> find(const submission_key& key) const;
    [[nodiscard]] std::shared_ptr<job> find_job(const submission_key& key) const;

    /// Inserts a new job. If the key is present, changes nothing and returns its entry.
    std::optional<entry> open(const std::shared_ptr<job>& opened);
    /// Records the answer and returns it to the callers that wait for the job.
    void record(const std::shared_ptr<job>& finished, rpc::submission_answer answer);
    /// Records that the job was answered earlier and that its answer is not available.
    void record_expired(const std::shared_ptr<job>& answered);
    /// Removes a job that was refused before its claim was held, and returns the answer to the
    /// callers that wait for it.
    void discard(const std::shared_ptr<job>& refused, const result<rpc::submission_answer>& answer);
    /// Removes a job whose ownership moved before its claim was held. It counts as running until
    /// `finish_removed`, so that a shutdown waits for the answer of the new owner.
    void remove(const std::shared_ptr<job>& moved);
    /// Returns the answer of the new owner to the callers that wait for the removed job.
    void finish_removed(const std::shared_ptr<job>& moved,
                        const result<rpc::submission_answer>& answer);

    /// Drops answered entries whose retention period has passed.
    void expire(absl::Time now);

    [[nodiscard]] std::size_t running() const;
    [[nodiscard]] std::size_t answer_bytes() const;
    [[nodiscard]] std::size_t size() const;

private:
    void close(const std::shared_ptr<job>& finished, state_type state);
    void drop_oldest_answers();

    const std::size_t max_answer_bytes_;
    mutable std::mutex mutex_;
    absl::flat_hash_map<submission_key, entry> entries_;
    std::deque<submission_key> answered_; ///< in the order of recording; may include dropped keys
    std::size_t answer_bytes_{0};
    std::size_t running_{0};
};

} // namespace carobfall
