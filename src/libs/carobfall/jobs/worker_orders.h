#pragma once

#include "carobfall/jobs/job_request.h"

#include <absl/time/time.h>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carobfall {

enum class worker_state {
    ready,
    draining,
    unannounced, ///< has restarted under its id; its kind is unknown until it announces itself
};

/// Announcement of a worker to its agent.
struct worker_announcement {
    std::string id;
    std::string service;
    std::string data_centre;
    std::string version;
    worker_state state{worker_state::ready};
    resource_amounts capacity;
    std::vector<std::string> labels; ///< kind of the worker, rack
    std::string rack;
    std::int64_t started_unix_ms{0}; ///< distinguishes incarnations of one id
    std::int64_t sequence{0};        ///< increases within an incarnation
    /// Least time for which a draining worker still serves; infinite if unknown.
    absl::Duration drain_remaining{absl::InfiniteDuration()};
};

/// Whether both announcements are of one incarnation.
[[nodiscard]] bool is_same_incarnation(const worker_announcement& first,
                                       const worker_announcement& second);
/// Whether both announcements describe the same kind of worker: what tasks it may run.
[[nodiscard]] bool is_same_description(const worker_announcement& first,
                                       const worker_announcement& second);
/// Whether an announcement tells something new after the present one. The first statement that the
/// present worker drains always does, since a worker drains until its end.
[[nodiscard]] bool is_later(const worker_announcement& announcement,
                            const worker_announcement& present);

/// One run of a task on a worker. `run` increases with each start of the task.
struct task_run {
    std::string job_id;
    std::uint32_t index{0};
    std::uint32_t run{0};

    bool operator==(const task_run&) const = default;
};

/// Time on the worker's own clock, in milliseconds since its start. Ends of leases are given on
/// this clock.
using worker_time = std::int64_t;

struct start_order {
    task_run task;
    std::string spec;
    worker_time lease_end{0};
    std::int64_t fencing_token{0};
};

enum class start_outcome {
    started,
    no_room,
    superseded, ///< the worker has already had this or a later run of the task
    lease_over, ///< the lease end of the order had passed
    fenced,     ///< the worker has received orders with a later fencing token
    unhealthy,  ///< the worker refuses new work at present; the run was not started
    other_incarnation,
    invalid,
    not_sent,  ///< the order was not sent to the worker; the run was not started
    no_answer, ///< the worker may have started the run, or may start it seconds later
};

/// Name used in logs and metrics, for example "no_room".
[[nodiscard]] std::string_view name_of(start_outcome outcome);

struct start_reply {
    start_outcome outcome{start_outcome::no_answer};
    std::optional<worker_time> clock;
};

enum class run_end_kind { done, failed, stopped, lapsed, broken };

/// Name used as a reason in events, for example "lease_lapsed".
[[nodiscard]] std::string_view name_of(run_end_kind kind);

struct run_end {
    std::uint64_t number{0}; ///< consecutive number within one incarnation
    task_run task;
    run_end_kind kind{run_end_kind::broken};
};

struct active_run {
    task_run task;
    int percent_done{0};
};

/// Answer to a lease renewal.
struct worker_report {
    worker_time clock{0};
    std::int64_t started_unix_ms{0};
    std::vector<active_run> active;
    std::vector<run_end> ends; ///< the ends after the acknowledged one, in order
    /// Whether all runs and ends are listed. An answer holds a limited number of ends and may
    /// contain rows that can't be parsed. If false, a run that is not listed may still be active.
    bool complete{true};
};

enum class renewal_outcome {
    renewed,
    fenced,
    other_incarnation,
    refused,
    gone,        ///< connection refused: the worker has ended, or it is cut off and still runs
    unreachable, ///< no connection: the renewal was not sent, so the lease is unchanged
    no_answer,   ///< the renewal may have extended the lease
};

/// Whether the worker has not answered.
[[nodiscard]] bool is_unanswered(renewal_outcome outcome);

struct renewal_reply {
    renewal_outcome outcome{renewal_outcome::no_answer};
    std::optional<worker_time> clock;
    worker_report report; ///< with `renewed`
};

struct renewal_order {
    /// Id of the worker that has to answer; any other one answers `other_incarnation`. Empty: the
    /// worker of `worker_orders::set_target`.
    std::string worker_id;
    std::int64_t fencing_token{0};
    std::uint64_t acknowledged_end{0};
    std::optional<worker_time> lease_end;
    absl::Duration wait; ///< the worker may delay its answer by this much until a run ends
};

/// Sends orders to the worker of the agent. The duration of each call is bounded.
class worker_orders {
public:
    virtual ~worker_orders() = default;

    virtual boost::asio::awaitable<start_reply> start(const start_order& order) = 0;
    /// Returns true if the worker has confirmed the stop. The run then ends, and no run of the task
    /// with this or a lower number starts later.
    virtual boost::asio::awaitable<bool> stop(const task_run& task, std::int64_t fencing_token) = 0;
    /// Extends the lease of all runs if `lease_end` is set, and returns a report of all runs.
    virtual boost::asio::awaitable<renewal_reply> renew(const renewal_order& order) = 0;
    /// Directs later orders to this worker and to no other incarnation of it.
    virtual void set_target(const worker_announcement& worker) = 0;
};

} // namespace carobfall
