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

/// Where one task of a running job stands. In `starting`, `accepted` and `uncertain` its present
/// attempt is open: it may run, and its result is awaited.
enum class task_phase {
    waiting,   ///< no attempt is open; each earlier one was refused or has a tombstone
    starting,  ///< a start has been sent and not been answered
    accepted,  ///< the agent has taken the attempt
    uncertain, ///< the answer to the start was lost or says nothing definite
    finished,  ///< the result is known
    lost,      ///< the agent's incarnation is gone with the attempt
};

/// State of one task of a running job.
struct task_entry {
    task_phase phase{task_phase::waiting};
    std::uint32_t attempt{0}; ///< 0 before the first one
    bool started{false};      ///< the agent has said that it runs
    bool earlier_lost{false}; ///< an earlier attempt was lost and may have run
    rpc::agent_ref agent;     ///< holder of the present attempt
    std::shared_ptr<const rpc::task_result> result; ///< set when finished
    bool result_too_long{false}; ///< `result` says so in place of what the backend server sent

    [[nodiscard]] bool is_open() const;
};

/// An attempt that has come to its end.
struct closed_attempt {
    rpc::agent_ref agent;
    rpc::task_status status; ///< what the agent said; state unknown if it said nothing
    bool requeued{false};    ///< the task waits for another attempt
};

/// Numbers of tasks in each condition.
struct job_progress {
    std::uint32_t waiting{0};
    std::uint32_t open{0};
    std::uint32_t uncertain{0}; ///< part of `open`
    std::uint32_t finished{0};
    std::uint32_t failed{0}; ///< part of `finished`
    std::uint32_t lost{0};
};

/// State of one running submission, shared by the thread that runs it, the threads that bring
/// reports, and those that wait for its answer. Thread-safe.
class job {
public:
    job(submission_key key, std::string body_hash, absl::Time deadline, std::uint32_t task_count);

    [[nodiscard]] const submission_key& key() const { return key_; }
    [[nodiscard]] const std::string& body_hash() const { return body_hash_; }
    [[nodiscard]] absl::Time deadline() const { return deadline_; }
    [[nodiscard]] std::uint32_t task_count() const { return task_count_; }

    /// A task that succeeds with a longer result counts as failed, and the result is dropped. Set
    /// before the first attempt.
    void limit_results(std::uint32_t bytes);

    /// Opens the next attempt of a waiting task at the agent and returns its number.
    std::uint32_t open_attempt(std::uint32_t index, const rpc::agent_ref& agent);
    /// Applies what an agent says about an attempt. Only the open attempt of the task matches;
    /// anything else changes nothing. Returns the attempt if that ended it.
    std::optional<closed_attempt> apply(const rpc::task_status& status);
    /// The start of the attempt may or may not have reached the agent.
    void mark_uncertain(std::uint32_t index, std::uint32_t attempt);
    /// The start of the attempt did not reach the agent.
    std::optional<closed_attempt> mark_unsent(std::uint32_t index, std::uint32_t attempt);
    /// The agent's incarnation is gone. With `rerun` the task waits for another attempt.
    std::optional<closed_attempt> mark_lost(std::uint32_t index, std::uint32_t attempt, bool rerun);

    [[nodiscard]] job_progress progress() const;
    [[nodiscard]] std::vector<task_entry> tasks() const;

    void request_cancel();
    [[nodiscard]] bool cancel_requested() const;

    /// Counts what the running thread has to act on: tasks to place or to ask for, a failure, a
    /// cancellation, the end. A success among many doesn't count, as it would wake the thread once
    /// per task.
    [[nodiscard]] std::uint64_t events() const;
    /// Blocks until `events` differs from `seen`, or for `limit`.
    void wait_for_event(std::uint64_t seen, absl::Duration limit);

    /// A slot may have become free: counts as an event.
    void wake();

    /// Sets the answer, once; wakes all who wait for it. Later reports change nothing.
    void finish(result<rpc::submission_answer> answer);
    /// Blocks until the answer is there, or for `limit`.
    [[nodiscard]] std::optional<result<rpc::submission_answer>>
    wait_for_answer(absl::Duration limit);

private:
    task_entry* find_open(std::uint32_t index, std::uint32_t attempt);
    void set_phase(task_entry& task, task_phase phase);
    void take_result(task_entry& task, const rpc::task_result& result) const;
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
