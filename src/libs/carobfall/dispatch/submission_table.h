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

/// What callers learn of a submission whose answer is not held any more.
[[nodiscard]] error expired_answer_error();

/// Submissions that this entry runs or has answered. Thread-safe.
///
/// A recorded answer is kept until the deadline and `record_retention` have passed, or until all
/// answers together exceed their bound; then the oldest are dropped first and the submission
/// remains known as expired.
class submission_table {
public:
    explicit submission_table(std::size_t answer_bytes);

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

    /// Enters a new job. If the key is known, nothing changes and the held entry is returned.
    std::optional<entry> open(const std::shared_ptr<job>& opened);
    /// Records the answer and hands it to those who wait for the job.
    void record(const std::shared_ptr<job>& finished, rpc::submission_answer answer);
    /// The job was answered before, and that answer is not held.
    void record_expired(const std::shared_ptr<job>& answered);
    /// Forgets a job that was refused before anything was claimed for it.
    void discard(const std::shared_ptr<job>& refused, const result<rpc::submission_answer>& answer);
    /// Forgets a job whose ownership moved before its claim was held. It counts as running until
    /// `finish_removed`, so that a shutdown waits for the answer of the new owner.
    void remove(const std::shared_ptr<job>& moved);
    /// Hands the answer of the new owner to those who wait for the removed job.
    void finish_removed(const std::shared_ptr<job>& moved,
                        const result<rpc::submission_answer>& answer);

    /// Drops entries whose deadline and retention have passed.
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
    std::deque<submission_key> answered_; ///< in the order of recording; may name dropped entries
    std::size_t answer_bytes_{0};
    std::size_t running_{0};
};

} // namespace carobfall
