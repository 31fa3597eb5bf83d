#pragma once

#include <absl/time/time.h>

#include <cstdint>

namespace carobfall {

// Bounds of the time after which a run has ended when its entry, its agent or its worker is silent.
//
// An agent extends the lease of its worker only while it has received frames within
// `entry_permission` from every entry with runs there, and while no run has been due to stop for
// longer than `stop_grace`. So each run ends within `longest_run_after_contact_ms` of the last
// frame that its entry has received from the agent, whichever process is paused or unreachable
// meanwhile: the ends of leases are times on the worker's clock that are computed from the time of
// the decision.

inline constexpr std::int64_t entry_permission_ms = 500;
inline constexpr std::int64_t stop_grace_ms = 100;
inline constexpr std::int64_t lease_time_ms = 650;
inline constexpr std::int64_t worker_silence_limit_ms = 520;
inline constexpr std::int64_t renewal_wait_ms = 100;
inline constexpr std::int64_t answer_timeout_ms = 130;
inline constexpr std::int64_t renewal_retry_delay_ms = 20;
inline constexpr std::int64_t runs_ended_after_ms = 1300;
/// Callers resubmit a job this long after they have lost their entry or have received an answer
/// with an unknown outcome.
inline constexpr std::int64_t callers_resend_after_ms = 1300;

/// Longest time without a frame from an entry for which the agent keeps starting and running its
/// tasks.
inline constexpr absl::Duration entry_permission = absl::Milliseconds(entry_permission_ms);
/// A stop takes 50 ms at the worker and one round trip. After this time its answer counts as lost,
/// and the run ends with the lease.
inline constexpr absl::Duration stop_grace = absl::Milliseconds(stop_grace_ms);
/// Lease time that an order or a renewal requests. Two lost renewals in a row end no run.
inline constexpr absl::Duration lease_time = absl::Milliseconds(lease_time_ms);
/// The worker may delay its answer to a renewal by this much until a run ends.
inline constexpr absl::Duration renewal_wait = absl::Milliseconds(renewal_wait_ms);
/// Timeout of a call to the worker. Workers answer within some milliseconds or, after a fault, not
/// at all. An agent whose processor share is a quota may itself be paused for a tenth of a second.
inline constexpr absl::Duration answer_timeout = absl::Milliseconds(answer_timeout_ms);
inline constexpr absl::Duration renewal_retry_delay = absl::Milliseconds(renewal_retry_delay_ms);
/// A worker without an answer for this long has lost more than two renewals in a row; its lease is
/// no longer extended.
inline constexpr absl::Duration worker_silence_limit = absl::Milliseconds(worker_silence_limit_ms);
/// Time after the last frame of an agent from which its entry may place the tasks elsewhere.
inline constexpr absl::Duration runs_ended_after = absl::Milliseconds(runs_ended_after_ms);
inline constexpr absl::Duration callers_resend_after = absl::Milliseconds(callers_resend_after_ms);

/// Rate of the slowest clock of a worker. It may be 2% slow, so that its lease lasts longer on the
/// clock of the agent.
inline constexpr std::int64_t slowest_clock_percent = 98;
/// Longest duration on the clock of the agent of `ms` on the worker's clock.
constexpr std::int64_t longest_on_worker_ms(std::int64_t ms)
{
    return (ms * 100 + slowest_clock_percent - 1) / slowest_clock_percent;
}
/// Error of the offset of the worker's clock, which is as old as the worker's last answer and is in
/// whole milliseconds.
inline constexpr std::int64_t clock_error_ms =
    longest_on_worker_ms(worker_silence_limit_ms) - worker_silence_limit_ms + 2;
/// Longest time from the last frame that an entry has received from an agent to the end of its last
/// run there.
inline constexpr std::int64_t longest_run_after_contact_ms =
    entry_permission_ms + stop_grace_ms + longest_on_worker_ms(lease_time_ms) + clock_error_ms;

/// Time from an answered renewal until the answer to the first renewal after two lost ones.
inline constexpr std::int64_t two_lost_renewals_ms =
    2 * (renewal_wait_ms + answer_timeout_ms + renewal_retry_delay_ms);

static_assert(longest_run_after_contact_ms <= runs_ended_after_ms);
static_assert(longest_run_after_contact_ms <= callers_resend_after_ms);
static_assert(two_lost_renewals_ms < worker_silence_limit_ms);
// The lease counts from the sending of the answered renewal, whose answer may have been delayed.
static_assert(renewal_wait_ms + two_lost_renewals_ms < lease_time_ms);

} // namespace carobfall
