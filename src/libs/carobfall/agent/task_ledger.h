#pragma once

#include "carobfall/agent/record_table.h"
#include "carobfall/agent/start_lease.h"
#include "carobfall/agent/task_record.h"
#include "carobfall/rpc/carobfall.pb.h"

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace carobfall {

/// Identity and limits of a task ledger.
struct ledger_options {
    std::string agent_incarnation;
    std::string data_centre;
    /// Maximum number of queued tasks as a multiple of the slots of the backend server.
    double queue_per_slot{2.0};
    /// Maximum number of records. Once it is reached, new tasks are refused. The tombstones for
    /// these refusals may take up as many records again. Heap use with 100,500 records and
    /// submission ids of 33 to 39 bytes: 311 to 380 bytes per finished task with an empty result,
    /// 136 to 339 bytes per tombstone; highest with one task per submission.
    std::size_t max_records{65'536};
    /// Maximum bytes of results kept for repeated requests and for reports.
    std::size_t max_result_bytes{std::size_t{8} * 1024 * 1024};
};

/// One record as shown in a state dump.
struct ledger_dump_entry {
    rpc::record_summary summary;
    rpc::refusal_reason reason{rpc::refusal_none};
    std::size_t result_bytes{0};
};

/// Counters and state of a ledger for dumps and metrics.
struct ledger_statistics {
    rpc::agent_load load;
    std::uint64_t view_number{0};
    std::size_t records{0};
    std::size_t result_bytes{0};
    std::uint64_t results_dropped{0};
    std::uint64_t accepted{0}; ///< tasks queued so far; a repeated request counts once
    std::uint32_t slots{0};
    absl::Time backend_valid_until;
    absl::Duration mean_run;
    bool leaving{false};
};

/// Makes the final decision on whether a task starts, and starts each task at most once.
/// Thread-safe; does no I/O.
///
/// A task is considered for acceptance if it has no record, or a tombstone (`refused`, `revoked`)
/// of a lower attempt. The reply to any other request contains the recorded state, which doesn't
/// change. Refusals are recorded, so that a delayed duplicate of a refused request cannot run.
class task_ledger {
public:
    /// `lease` has to outlive the ledger.
    task_ledger(ledger_options options, const start_lease& lease);

    /// Queues or refuses each task of the request. A request for another incarnation of the agent
    /// is refused as stale without a record. State `unknown` with reason `ledger_full` means that
    /// not even a tombstone could be stored: the task hasn't run, but a delayed duplicate may.
    rpc::start_reply start(const rpc::start_request& request, absl::Time now);

    /// Stores a tombstone for every task that has not started and whose record has no higher
    /// attempt. A request of an older view or for another incarnation only returns the states.
    /// For a task without a record the state is `unknown` once deadline and retention have passed,
    /// since its record may have expired.
    rpc::revoke_reply revoke(const rpc::revoke_request& request, absl::Time now);

    /// Raises the highest view number and returns the records if they are requested.
    rpc::fence_reply fence(const rpc::fence_request& request);
    /// Raises the highest view number to `number`; ignores a lower one.
    void raise_view_number(std::uint64_t number);

    /// Removes the next task from the queue, records it as started and returns it. Returns nothing
    /// without a valid lease, a free slot and a backend server, or while the data centre is out.
    std::optional<startable_task> take_startable(absl::Time now);

    /// Repeats the checks of `take_startable` at a time that was read after it, because the process
    /// may have been paused. If false, the task was queued again or refused and must not be run.
    bool confirm_start(const startable_task& task, absl::Time now);

    /// Time until which a confirmed task may start, on the clock that `confirm_start` uses.
    [[nodiscard]] absl::Time lease_end() const { return lease_.valid_until(); }

    /// Records the result of a started task and returns the report to send. Returns nothing if
    /// this attempt of the task isn't recorded as started.
    std::optional<pending_report> finish(const task_key& key, std::uint32_t attempt,
                                         rpc::task_result result, absl::Time now);

    /// Refuses a task that is recorded as started, but that the backend server did not begin, for
    /// example without a connection. Returns nothing if this attempt isn't recorded as started.
    std::optional<pending_report> refuse_unsent(const task_key& key, std::uint32_t attempt,
                                                rpc::refusal_reason reason, absl::Time now);

    /// Refuses the queued tasks that can't start any more (deadline, leaving, data centre out,
    /// backend server gone). Returns the reports of all tasks refused from the queue since the last
    /// call.
    std::vector<pending_report> sweep(absl::Time now);

    /// Applies an announcement of the backend server that is valid until `valid_until`.
    void announce_backend(std::uint32_t slots, absl::Time valid_until);
    void remove_backend();
    [[nodiscard]] bool backend_available(absl::Time now) const;

    /// Refuses all new tasks from now on; the next sweep refuses the queued ones.
    void begin_leaving();
    [[nodiscard]] bool leaving() const;

    /// Drops records whose deadline and retention have passed; returns how many.
    std::size_t expire(absl::Time now);

    [[nodiscard]] rpc::agent_load load() const;
    [[nodiscard]] std::uint64_t view_number() const;

    /// Content of a report; nothing if the record has expired or is of another attempt.
    [[nodiscard]] std::optional<rpc::task_report> report_of(const task_key& key,
                                                            std::uint32_t attempt) const;

    [[nodiscard]] ledger_statistics statistics() const;
    [[nodiscard]] std::vector<ledger_dump_entry> dump() const;

private:
    struct queue_entry {
        task_key key;
        std::uint32_t attempt{0};
    };

    using context_ptr = std::shared_ptr<const start_context>;

    absl::Time advance(absl::Time now);
    rpc::task_status decide(const rpc::start_request& request, const rpc::start_task& task,
                            const context_ptr& context, absl::Time now);
    rpc::task_status revoke_task(const rpc::revoke_request& request, const rpc::task_attempt& task,
                                 absl::Time now);
    [[nodiscard]] rpc::refusal_reason admission_refusal(const rpc::start_request& request,
                                                        absl::Time now) const;
    [[nodiscard]] rpc::refusal_reason agent_refusal(absl::Time now) const;
    [[nodiscard]] rpc::refusal_reason queued_task_refusal(const task_record& record,
                                                          absl::Time now) const;
    [[nodiscard]] bool can_meet_deadline(std::int64_t deadline_unix_ms, absl::Time now) const;
    [[nodiscard]] std::size_t queue_bound() const;

    void sweep_queue(absl::Time now);
    void enqueue(const task_key& key, task_record& record, const rpc::start_task& task,
                 const context_ptr& context);
    void refuse_queued(const task_key& key, task_record& record, rpc::refusal_reason reason);
    task_record* queued_record(const queue_entry& entry);
    task_record* started_record(const task_key& key, std::uint32_t attempt);
    [[nodiscard]] pending_report report_for(const task_key& key, const task_record& record) const;
    [[nodiscard]] rpc::agent_load load_locked() const;

    const ledger_options options_;
    const start_lease& lease_;

    mutable std::mutex mutex_;
    absl::Time latest_time_{absl::InfinitePast()};
    record_table records_;
    /// First in, first out. An entry is skipped if its attempt is no longer queued in the record.
    std::deque<queue_entry> queue_;
    std::vector<pending_report> refused_from_queue_;
    std::uint64_t accepted_{0};
    std::uint32_t queued_{0};
    std::uint32_t running_{0};
    std::uint32_t slots_{0};
    std::uint64_t view_number_{0};
    absl::Time backend_valid_until_{absl::InfinitePast()};
    absl::Duration mean_run_{absl::ZeroDuration()};
    bool leaving_{false};
};

} // namespace carobfall
