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

enum class worker_state { ready, draining };

/// What a worker says of itself when it announces itself to the agent beside it.
struct worker_announcement {
    std::string id;
    std::string service;
    std::string data_centre;
    std::string version;
    worker_state state{worker_state::ready};
    resource_amounts capacity;
    std::vector<std::string> labels; ///< kind of the worker, rack
    std::string rack;
    std::int64_t started_unix_ms{0}; ///< tells incarnations of one id apart
    std::int64_t sequence{0};        ///< grows within an incarnation
};

/// One run of a task on a worker. `run` grows with each start of the task.
struct task_run {
    std::string job_id;
    std::uint32_t index{0};
    std::uint32_t run{0};

    bool operator==(const task_run&) const = default;
};

/// Lease time is a time on the worker's own clock, in milliseconds since its start.
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
    superseded, ///< this or a later run has been there already
    lease_over, ///< the lease end of the order had passed
    fenced,     ///< a later holder has given orders
    unhealthy,  ///< the worker refuses work for now; nothing was done
    other_incarnation,
    invalid,
    not_sent,  ///< the worker could not be reached; nothing was done
    no_answer, ///< may have been carried out, or may be so seconds later
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
    std::uint64_t number{0}; ///< counts the ends of one incarnation
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
    std::vector<run_end> ends; ///< those after the acknowledged one, in order
    /// Whether each run and each end is in the lists: an answer holds a limited number of ends, and
    /// may have rows that can't be read. If not, a run that isn't listed may still be there.
    bool complete{true};
};

enum class renewal_outcome {
    renewed,
    fenced,
    other_incarnation,
    refused,
    gone,        ///< nothing listens: the worker has ended, or is behind a cut and runs on
    unreachable, ///< not sent
    no_answer,   ///< may have extended the lease
};

struct renewal_reply {
    renewal_outcome outcome{renewal_outcome::no_answer};
    std::optional<worker_time> clock;
    worker_report report; ///< with `renewed`
};

struct renewal_order {
    std::int64_t fencing_token{0};
    std::uint64_t acknowledged_end{0};
    std::optional<worker_time> lease_end;
    absl::Duration wait; ///< the answer may wait this long for an end
};

/// Orders to the worker beside the agent. Each call is bounded in time.
class worker_orders {
public:
    virtual ~worker_orders() = default;

    virtual boost::asio::awaitable<start_reply> start(const start_order& order) = 0;
    /// True once the worker has answered: the run ends, and no run up to its number starts again.
    virtual boost::asio::awaitable<bool> stop(const task_run& task, std::int64_t fencing_token) = 0;
    /// Extends the lease of everything that runs and reports it.
    virtual boost::asio::awaitable<renewal_reply> renew(const renewal_order& order) = 0;
    /// Later orders are meant for this worker and for no other incarnation.
    virtual void set_target(const worker_announcement& worker) = 0;
};

} // namespace carobfall
