#pragma once

#include "carobfall/fleet/fleet.pb.h"
#include "carobfall/jobs/failure_rate.h"
#include "carobfall/jobs/known_worker.h"
#include "carobfall/jobs/ledger_decision.h"
#include "carobfall/jobs/past_runs.h"
#include "carobfall/jobs/run_queue.h"
#include "carobfall/jobs/run_record.h"
#include "carobfall/jobs/task_placement.h"
#include "carobfall/jobs/waiting_profile.h"
#include "carobfall/jobs/worker_orders.h"
#include "carobfall/jobs/worker_speed.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace carobfall {

struct session_event {
    session_number session{0};
    fleet::task_event event;
};

/// The agent's record of all tasks that entries have ordered and of all runs on its worker. Only
/// the agent gives orders to the worker, so the ledger determines the room that is free.
///
/// A task is reported as ended or not run only after all its runs on the worker have ended and no
/// further run can start: an order without an answer may be carried out seconds later.
class worker_ledger {
public:
    using record_number = std::uint64_t;

    /// See `known_worker::is_current`.
    [[nodiscard]] bool is_current(const worker_announcement& worker) const
    {
        return worker_.is_current(worker);
    }
    /// Updates the worker from its announcement. A worker with another id ends the runs of the
    /// earlier one, so the process at the worker's address must have confirmed it. Returns false if
    /// the announcement isn't current, or if it is of another incarnation with the same id, for
    /// which `begin_incarnation` has to be called first.
    /// `received_at`: needed only if the announcement states a remaining time.
    bool announce(const worker_announcement& worker, absl::Time received_at = absl::InfinitePast());
    /// Handles the first report of another incarnation with the id of the present worker. Starts
    /// are addressed to an id, so the new incarnation may have carried out the latest ones: a run
    /// counts as ended only if the report shows it. The worker gets no tasks until it announces
    /// itself.
    void begin_incarnation(const worker_report& report, absl::Time requested_at, absl::Time now);
    /// Removes a worker that has left, together with its runs.
    void remove_worker(std::string_view id);

    void add(session_number session, const fleet::task_order& order, absl::Time now);
    void request_stop(session_number session, const fleet::task_stop& stop, absl::Time now);
    /// Removes the waiting tasks of a lost or silent entry and stops its runs. `since`: time since
    /// which other processes rely on the end of the runs.
    void drop_session(session_number session, absl::Time since);
    /// Returns all waiting tasks to their entries.
    void return_waiting_tasks(std::string_view reason);
    /// Returns waiting tasks that can no longer end while their caller waits, and those that should
    /// run elsewhere because they have waited longer than their entry allows.
    void expire(absl::Time now);

    /// Moves the next task that fits to the phase `starting`. `may_run`: returns whether a session
    /// still permits starts.
    std::optional<record_number> begin_next(absl::Time now,
                                            const std::function<bool(session_number)>& may_run);
    void on_start_reply(record_number number, const start_reply& reply, absl::Time now);
    /// Returns the next record that needs a stop order and marks the order as under way. The record
    /// is returned again if `on_stop_reply` gets `answered` = false.
    std::optional<record_number> begin_stop();
    void on_stop_reply(record_number number, bool answered, absl::Time now);
    /// `requested_at`: when the report was requested. The worker delays its answer until a run
    /// ends. So the time of the answer is the end of the run, unless an earlier report was lost.
    void on_report(const worker_report& report, absl::Time requested_at, absl::Time now);
    /// Ends all runs. Called after the worker or its last lease has ended.
    void end_runs(std::string_view reason);

    [[nodiscard]] const run_record* find(record_number number) const;
    [[nodiscard]] const std::optional<worker_announcement>& worker() const
    {
        return worker_.present();
    }
    [[nodiscard]] std::uint64_t acknowledged_end() const { return acknowledged_end_; }
    [[nodiscard]] resource_amounts free_room() const;
    /// Room that waiting tasks demand.
    [[nodiscard]] waiting_profile waiting_room(absl::Time now) const
    {
        return waiting_room_of(records_, now);
    }
    /// Thousandths of a core that runs are expected to release per second.
    [[nodiscard]] double released_millicores_per_s(absl::Time now) const;
    [[nodiscard]] std::size_t waiting() const
    {
        return static_cast<std::size_t>(
            std::count_if(records_.begin(), records_.end(), [](const auto& entry) {
                return entry.second.phase == task_phase::waiting;
            }));
    }
    /// Number of runs that are or may be on the worker.
    [[nodiscard]] std::size_t on_worker() const { return records_.size() - waiting(); }
    /// Whether a run on the worker was ordered on a connection that has ended, or by an earlier
    /// agent.
    [[nodiscard]] bool has_past_runs() const;
    /// Whether tasks that were ordered in the session wait or run.
    [[nodiscard]] bool has_tasks(session_number session) const
    {
        return std::any_of(records_.begin(), records_.end(), [session](const auto& entry) {
            return entry.second.session == session;
        });
    }
    /// Returns a run whose `stop_since` is more than `stop_grace` ago, or null if there is none.
    [[nodiscard]] const run_record* overdue_stop(absl::Time now) const;
    [[nodiscard]] double slowness(absl::Time now) const { return speed_.slowness(now); }
    [[nodiscard]] double failure_share(absl::Time now) const { return failures_.share(now); }
    [[nodiscard]] std::vector<session_event> take_events() { return std::exchange(events_, {}); }
    [[nodiscard]] bool has_events() const { return !events_.empty(); }
    [[nodiscard]] std::vector<ledger_decision> take_decisions()
    {
        return std::exchange(decisions_, {});
    }

private:
    using record_map = run_record_map;

    /// Returns the waiting tasks that may not run on the worker as it is described now.
    void return_mismatched_tasks();
    /// Drops what is known of the earlier incarnation besides its runs.
    void reset_incarnation();
    /// Returns why the worker may not start the task at present, or an empty string if it may.
    [[nodiscard]] std::string_view start_obstacle(const run_record& record) const;
    /// Returns why a new order is refused, or an empty string if it is accepted.
    [[nodiscard]] std::string_view refusal_of(const run_record& record, absl::Time now) const;
    /// Expected wait of a task that is added to the queue now.
    [[nodiscard]] absl::Duration wait_of(const run_record& record, absl::Time now) const;
    record_map::iterator find_run(const task_run& run);
    void finish(record_map::iterator record, fleet::task_event_kind kind, std::string_view reason,
                absl::Time now);
    /// `exact`: the run ended immediately before the report.
    void apply_end(const run_end& end, bool exact, absl::Time now);
    void check_progress(const worker_report& report, absl::Time now);
    void return_overlong_waits(absl::Time now);
    void stop_unknown_runs(const worker_report& report, absl::Time now);
    [[nodiscard]] bool has_run_elsewhere(record_number number, const run_record& record) const;
    [[nodiscard]] std::uint32_t next_run(const run_record& record) const;

    known_worker worker_;
    record_map records_;
    record_number last_number_{0};
    std::uint64_t acknowledged_end_{0};
    absl::Time reported_at_{absl::InfinitePast()};                  ///< time of the latest report
    absl::Time complete_report_requested_at_{absl::InfinitePast()}; ///< of the latest complete one
    past_runs past_runs_;
    worker_speed speed_;
    failure_rate failures_;
    std::vector<session_event> events_;
    std::vector<ledger_decision> decisions_;
};

} // namespace carobfall
