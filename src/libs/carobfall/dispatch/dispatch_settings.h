#pragma once

#include "carobfall/base/lease_limit.h"
#include "carobfall/entry/claim_store.h"

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace carobfall {

/// An agent without evidence that it is alive for this time is assigned no new tasks. Agents that
/// are not on standby send a heartbeat every 2 s and, if that call times out (0.5 s), the next one
/// 1 s later.
inline constexpr absl::Duration heartbeat_timeout = absl::Milliseconds(3500);

/// Settings of the dispatch of an entry.
struct dispatch_settings {
    std::string region; ///< region of the entry

    absl::Duration heartbeat_timeout{carobfall::heartbeat_timeout};
    /// A reported load older than this is ignored, because the next heartbeat may be 10 s away. The
    /// reply to a start has the current load.
    absl::Duration load_validity{absl::Seconds(2)};

    absl::Duration start_call_timeout{absl::Milliseconds(500)};
    absl::Duration revoke_call_timeout{absl::Milliseconds(300)};
    absl::Duration claim_call_timeout{absl::Milliseconds(300)};
    /// Pause before a failed call to another process is repeated.
    absl::Duration call_retry_pause{absl::Milliseconds(20)};
    /// Longest wait of an unknown submission for the claims of the previous view.
    absl::Duration completeness_wait{absl::Seconds(3)};
    /// Longest wait for a backend server that accepts tasks, before the submission is refused.
    absl::Duration agent_wait{absl::Seconds(3)};
    /// Longest wait for the signal that a slot has become free, before the placement of waiting
    /// tasks is tried again. The end of a backoff or of a wait for the start rate gives no signal.
    absl::Duration grant_retry_pause{absl::Milliseconds(50)};
    /// Time for which a job places no tasks at an agent that refused one of its starts.
    absl::Duration refused_agent_pause{absl::Milliseconds(50)};
    /// Longest wait for reports before the state of the agents is checked again.
    absl::Duration event_wait_timeout{absl::Milliseconds(50)};
    /// Longest wait of a caller for its answer before the deadline is checked again.
    absl::Duration answer_wait_timeout{absl::Seconds(1)};

    /// Share of the time to the deadline that is reserved to revoke unfinished tasks. The next two
    /// settings limit this time. A revoke takes one round trip (under 1 ms) unless the agent hangs.
    double wind_down_share{0.1};
    absl::Duration min_wind_down{absl::Milliseconds(20)};
    absl::Duration max_wind_down{absl::Milliseconds(200)};
    /// Time reserved before the deadline to build and send the answer. With 5 ms, an answer was
    /// late by a fraction of a millisecond on an overloaded machine.
    absl::Duration answer_reserve{absl::Milliseconds(10)};

    /// Maximum queue length of an agent, per slot of its backend server.
    double queue_per_slot{0.5};

    /// Maximum size of all recorded answers together. A daemon has 64 MB of memory in total.
    std::size_t max_recorded_answer_bytes{std::size_t{24} * 1024 * 1024};

    /// Maximum number of templates whose measured run times are kept. There are 730 teams.
    std::size_t max_measured_templates{4096};

    /// Threads that run takeovers and the submissions whose callers don't wait.
    std::size_t run_threads{64};
    std::size_t run_queue{1024};
    /// Threads for parallel calls to several agents.
    std::size_t call_threads{16};

    /// Retry budget for unstarted tasks: a share of the first starts plus a fixed rate.
    double retry_share{0.2};
    double retries_per_second{10};
};

} // namespace carobfall
