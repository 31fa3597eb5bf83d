#pragma once

#include "carobfall/base/lease_limit.h"
#include "carobfall/entry/claim_store.h"

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace carobfall {

/// An agent whose last sign of life is older gets no new tasks. Agents that no entry watches send a
/// heartbeat every 2 s and, if that call times out (0.5 s), the next one 1 s after it.
inline constexpr absl::Duration heartbeat_timeout = absl::Milliseconds(3500);

/// Settings of the dispatching part of an entry.
struct dispatch_settings {
    std::string region; ///< of the entry

    absl::Duration heartbeat_timeout{carobfall::heartbeat_timeout};
    /// A reported load that is older doesn't keep tasks away: the answer to a start brings the
    /// present one, and the next heartbeat may be 10 s away.
    absl::Duration load_validity{absl::Seconds(2)};

    absl::Duration start_call_limit{absl::Milliseconds(500)};
    absl::Duration revoke_call_limit{absl::Milliseconds(300)};
    absl::Duration claim_call_limit{absl::Milliseconds(300)};
    /// Pause before a call to a peer that failed is repeated.
    absl::Duration call_retry_pause{absl::Milliseconds(20)};
    /// Longest wait of an unknown submission for the claims of the last view.
    absl::Duration completeness_wait{absl::Seconds(3)};
    /// Longest wait for a backend server that can take tasks, before the submission is refused.
    absl::Duration agent_wait{absl::Seconds(3)};
    /// Longest wait for the signal that a slot has become free before waiting tasks are offered
    /// again. What ends by the time alone, such as a backoff or a start rate, gives no signal.
    absl::Duration grant_retry_pause{absl::Milliseconds(50)};
    /// An agent that refused a start of a job is not tried again by that job for this time.
    absl::Duration refused_agent_pause{absl::Milliseconds(50)};
    /// Longest wait for reports before the state of the agents is looked at again.
    absl::Duration event_wait_limit{absl::Milliseconds(50)};
    /// Longest wait of a caller for its answer before the clock is looked at again.
    absl::Duration answer_wait_limit{absl::Seconds(1)};

    /// Part of the time to the deadline that is kept for revoking what hasn't finished, and its
    /// bounds. A revoke takes one round trip (under 1 ms) unless the agent hangs.
    double wind_down_share{0.1};
    absl::Duration min_wind_down{absl::Milliseconds(20)};
    absl::Duration max_wind_down{absl::Milliseconds(200)};
    /// Kept free before the deadline to assemble and send the answer. With 5 ms, an answer was
    /// late by a fraction of a millisecond on an overloaded machine.
    absl::Duration answer_reserve{absl::Milliseconds(10)};

    /// Tasks that may wait in the queue of an agent, relative to its slots.
    double queue_per_slot{0.5};

    /// Bound of all recorded answers together. A daemon has 64 MB in all.
    std::size_t recorded_answer_bytes{std::size_t{24} * 1024 * 1024};

    /// Most templates whose measured run times are kept; there are 730 teams.
    std::size_t measured_templates{4096};

    /// Threads that run submissions whose caller doesn't wait, and takeovers.
    std::size_t run_threads{64};
    std::size_t run_queue{1024};
    /// Threads that help with calls to several agents at once.
    std::size_t call_threads{16};

    /// Retries of unstarted tasks per first start, and retries that are always allowed per second.
    double retry_share{0.2};
    double retries_per_second{10};
};

} // namespace carobfall
