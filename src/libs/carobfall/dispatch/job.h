#pragma once

#include "carobfall/base/error.h"
#include "carobfall/base/ids.h"

#include <absl/time/time.h>

#include <condition_variable>
#include <cstdint>
#include <limits>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace carobfall {

/// Phase of one task of a running job. In `starting`, `accepted` and `uncertain` its current
/// attempt is open: it may run, and the job waits for its result.
enum class task_phase {
    waiting,   ///< no attempt is open; earlier ones were not sent, refused, lost or got a tombstone
    starting,  ///< a start has been sent, without a reply so far
    accepted,  ///< the agent has accepted the attempt
    uncertain, ///< the reply to the start was lost or is inconclusive
    finished,  ///< the result is known
    lost,      ///< the incarnation of the agent ended before it reported a result
};

/// State of one task of a running job.
struct task_entry {
    task_phase phase{task_phase::waiting};
    std::uint32_t attempt{0};         ///< 0 before the first one
    bool started{false};              ///< the agent has reported that the attempt runs
    bool earlier_attempt_lost{false}; ///< an earlier attempt was lost and may have run
    rpc::agent_ref agent;             ///< agent of the current attempt
    std::shared_ptr<const rpc::task_result> result; ///< set when finished
    bool result_too_long{false}; ///< `result` is an error in place of the one received

    [[nodiscard]] bool is_open() const;
};

/// An attempt that has ended.
struct closed_attempt {
    rpc::agent_ref agent;
    rpc::task_status status; ///< as reported by the agent; state unknown without a report
    bool requeued{false};    ///< the task waits for another attempt
};

/// Number of tasks in each state.
struct job_progress {
    std::uint32_t waiting{0};
    std::uint32_t open{0};
    std::uint32_t uncertain{0}; ///< included in `open`
    std::uint32_t finished{0};
    std::uint32_t failed{0}; ///< included in `finished`
    std::uint32_t lost{0};
};

/// State of one running submission, shared by the thread that runs it, the threads that apply
/// reports, and those that wait for its answer. Thread-safe.
class job {
public:
    job(submission_key key, std::string body_hash, absl::Time deadline, std::uint32_t task_count);

    [[nodiscard]] const submission_key& key() const { return key_; }
    [[nodiscard]] const std::string& body_hash() const { return body_hash_; }
    [[nodiscard]] absl::Time deadline() const { return deadline_; }
    [[nodiscard]] std::uint32_t task_count() const { return task_count_; }

    /// Sets the maximum size of a result in bytes. A task that succeeds with a longer result counts
    /// as failed, and the result is dropped. Call before the first attempt.
    void set_max_result_bytes(std::uint32_t bytes);

    /// Opens the next attempt of a waiting task at the agent and returns its number.
    std::uint32_t open_attempt(std::uint32_t index, const rpc::agent_ref& agent);
    /// Applies the state of an attempt that an agent reports. Has an effect only on the open
    /// attempt of the task. Returns the attempt if the report ended it.
    std::optional<closed_attempt> apply(const rpc::task_status& status);
    /// Records that the start of the attempt may or may not have reached the agent.
    void mark_uncertain(std::uint32_t index, std::uint32_t attempt);
    /// Records that the start of the attempt did not reach the agent. The task waits for another
    /// attempt.
    std::optional<closed_attempt> mark_unsent(std::uint32_t index, std::uint32_t attempt);
    /// Records that the incarnation of the agent has ended. With `rerun`, the task waits for
    /// another attempt.
    std::optional<closed_attempt> mark_lost(std::uint32_t index, std::uint32_t attempt, bool rerun);

    [[nodiscard]] job_progress progress() const;
    [[nodiscard]] std::vector<task_entry> tasks() const;

    void request_cancel();
    [[nodiscard]] bool cancel_requested() const;

    /// Number of events that the running thread has to act on: tasks to place or to revoke, a
    /// failure, a cancellation, the end. The success of a task isn't counted while other tasks are
    /// open and none are waiting, because the thread would otherwise wake once per task.
    [[nodiscard]] std::uint64_t events() const;
    /// Blocks until `events` differs from `seen`, at most for `timeout`.
    void wait_for_event(std::uint64_t seen, absl::Duration timeout);

    /// Counts an event, because a slot may have become free.
    void wake();

    /// Sets the answer and wakes the threads that wait for it. Later calls and reports have no
    /// effect.
    void finish(result<rpc::submission_answer> answer);
    /// Blocks until the answer is set, at most for `timeout`. Returns no value without an answer.
    [[nodiscard]] std::optional<result<rpc::submission_answer>>
    wait_for_answer(absl::Duration timeout);

private:
    task_entry* find_open(std::uint32_t index, std::uint32_t attempt);
    void set_phase(task_entry& task, task_phase phase);
    void store_result(task_entry& task, const rpc::task_result& result) const;
    closed_attempt close(task_entry& task, task_phase phase, const rpc::task_status& status);
    void notify_event();

    const submission_key key_;
    const std::string body_hash_;
    const absl::Time deadline_;
    const std::uint32_t task_count_;

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<task_entry> tasks_;
    job_progress progress_;
    std::uint32_t max_result_bytes_{std::numeric_limits<std::uint32_t>::max()};
    std::uint64_t events_{0};
    bool cancel_requested_{false};
    std::optional<result<rpc::submission_answer>> answer_;
};

} // namespace carobfall
