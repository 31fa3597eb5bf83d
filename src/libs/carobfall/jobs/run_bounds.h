#pragma once

#include <absl/time/time.h>

#include <cstdint>

namespace carobfall {

// Bounds of the time after which a run has ended when its entry, its agent or its worker is silent.
//
// An agent stops extending the lease of its worker when an entry with runs there has sent no frame
// within `entry_permission`, or when a run has been due to stop for longer than `stop_grace`. All
// runs of the worker then end with the lease. So each run ends within
// `longest_run_after_contact_ms` of the last frame that its entry has received from the agent. This
// also holds if processes are paused or unreachable meanwhile, because the end of a lease is a time
// on the worker's clock, computed from the time of the decision.

inline constexpr std::int64_t entry_permission_ms = 500;
inline constexpr std::int64_t stop_grace_ms = 100;
inline constexpr std::int64_t lease_time_ms = 650;
/// Longest lease that a worker grants, whatever end an order requests.
inline constexpr std::int64_t longest_lease_ms = 1000;
inline constexpr std::int64_t worker_silence_limit_ms = 520;
inline constexpr std::int64_t renewal_wait_ms = 100;
inline constexpr std::int64_t answer_timeout_ms = 130;
inline constexpr std::int64_t renewal_retry_delay_ms = 20;
inline constexpr std::int64_t runs_ended_after_ms = 1300;
/// Callers resubmit a job this long after they have lost their entry or have received an answer
/// with an unknown outcome.
inline constexpr std::int64_t callers_resend_after_ms = 1300;

/// Longest time without a frame from an entry before the agent stops the runs of that entry and
/// starts no more of its tasks.
inline constexpr absl::Duration entry_permission = absl::Milliseconds(entry_permission_ms);
/// A stop takes 50 ms at the worker and one round trip. After this time its answer counts as lost,
/// and the run ends with the lease.
inline constexpr absl::Duration stop_grace = absl::Milliseconds(stop_grace_ms);
/// Lease time that an order or a renewal requests. Two lost renewals in a row end no run.
inline constexpr absl::Duration lease_time = absl::Milliseconds(lease_time_ms);
/// The end of a lease is a time on the worker's clock. Another incarnation has another clock, on
/// which the end of an order may be later than any lease.
inline constexpr absl::Duration longest_lease = absl::Milliseconds(longest_lease_ms);
/// The worker may delay its answer to a renewal by this much until a run ends.
inline constexpr absl::Duration renewal_wait = absl::Milliseconds(renewal_wait_ms);
/// Timeout of a call to the worker. Workers answer within some milliseconds or, after a fault, not
/// at all. An agent whose processor share is a quota may itself be paused for a tenth of a second.
inline constexpr absl::Duration answer_timeout = absl::Milliseconds(answer_timeout_ms);
inline constexpr absl::Duration renewal_retry_delay = absl::Milliseconds(renewal_retry_delay_ms);
/// The lease of a worker that has not answered for this long is no longer extended: more than two
/// renewals in a row were lost.
inline constexpr absl::Duration worker_silence_limit = absl::Milliseconds(worker_silence_limit_ms);
/// An entry may place the tasks of an agent elsewhere this long after the agent's last frame.
inline constexpr absl::Duration runs_ended_after = absl::Milliseconds(runs_ended_after_ms);
inline constexpr absl::Duration callers_resend_after = absl::Milliseconds(callers_resend_after_ms);

/// Rate of the slowest worker clock, relative to the clock of the agent. A worker clock may be 2%
/// slow, so that a lease lasts longer on the clock of the agent.
inline constexpr std::int64_t slowest_clock_percent = 98;
/// Converts `ms` on the slowest worker clock to milliseconds on the agent's clock, rounded up.
constexpr std::int64_t longest_on_worker_ms(std::int64_t ms)
{
    return (ms * 100 + slowest_clock_percent - 1) / slowest_clock_percent;
}
/// Error of the offset of the worker's clock. The offset is as old as the worker's last answer and
/// is in whole milliseconds.
inline constexpr std::int64_t clock_error_ms =
    longest_on_worker_ms(worker_silence_limit_ms) - worker_silence_limit_ms + 2;
/// Longest time from the last frame that an entry receives from an agent to the end of the entry's
/// last run at that agent.
inline constexpr std::int64_t longest_run_after_contact_ms =
    entry_permission_ms + stop_grace_ms + longest_on_worker_ms(lease_time_ms) + clock_error_ms;

/// Time from an answered renewal to the next answered one if two renewals between them are lost.
inline constexpr std::int64_t two_lost_renewals_ms =
    2 * (renewal_wait_ms + answer_timeout_ms + renewal_retry_delay_ms);

static_assert(longest_run_after_contact_ms <= runs_ended_after_ms);
static_assert(longest_run_after_contact_ms <= callers_resend_after_ms);
static_assert(two_lost_renewals_ms < worker_silence_limit_ms);
// The lease counts from the time of sending a renewal; the answer to it may have been delayed.
static_assert(renewal_wait_ms + two_lost_renewals_ms < lease_time_ms);

} // namespace carobfall
