#pragma once

#include "carobfall/fleet/frame_channel.h"

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>

namespace carobfall {

// Bounds of the transfer of the operator state between an entry and an agent, and of the time until
// a process that the store does not answer holds a change.
//
// A state passes from an entry that reads it from the store through an agent to an entry that the
// store does not answer. At each of the two steps the receiver learns of it from the next frame,
// waits for the store, and fetches the parts one after the other. The sender may be the slowest
// link and may serve the largest number of receivers at once.

/// Largest part in bytes. Frames that keep a link alive wait behind at most one part per receiver.
inline constexpr std::int64_t state_part_bytes = 16 << 10;
/// Receivers that a process serves at a time. Others are told to ask another peer.
inline constexpr std::int64_t max_state_receivers = 4;
/// A peer that sends no part for this long is replaced by another one.
inline constexpr std::int64_t state_part_timeout_ms = 300;
/// Pause after a peer has refused to send a part. Limits the requests while all peers refuse.
inline constexpr std::int64_t state_retry_pause_ms = 20;
/// Time after the first sign of a later state in which only the store may deliver it. In normal
/// operation each process reads it from the store.
inline constexpr std::int64_t store_precedence_ms = 250;
/// The same time for a process that holds no state yet. Until then it serves nobody.
inline constexpr std::int64_t first_state_precedence_ms = 100;
/// Largest state in bytes that a process accepts.
inline constexpr std::int64_t max_state_bytes = 4 << 20;

/// Link of the slowest machine, 19 Mbit/s.
inline constexpr std::int64_t slowest_link_bytes_per_ms = 19'000 / 8;
/// Round trip between two data centres and the time for the frames of a part at both peers, on the
/// smallest share of a core.
inline constexpr std::int64_t part_overhead_ms = 15;
/// Shortest time in which a confirmed change has to be in force at all entries.
inline constexpr std::int64_t configuration_apply_ms = 2000;
/// Operator state of 1,440 routes.
inline constexpr std::int64_t large_state_bytes = 120 << 10;

/// Longest time from the request of a part to its arrival over the slowest link.
inline constexpr std::int64_t slowest_part_ms =
    max_state_receivers * state_part_bytes / slowest_link_bytes_per_ms + part_overhead_ms;
/// Longest time for a state of `bytes` over the slowest link.
constexpr std::int64_t slowest_transfer_ms(std::int64_t bytes)
{
    return (bytes + state_part_bytes - 1) / state_part_bytes * slowest_part_ms;
}
/// Longest time from the first process that holds a state of `bytes` to the last one, with the loss
/// of one sender on the way.
constexpr std::int64_t slowest_relay_ms(std::int64_t bytes)
{
    return 2 * (link_frame_interval_ms + store_precedence_ms + slowest_transfer_ms(bytes)) +
           state_part_timeout_ms;
}

inline constexpr absl::Duration state_part_timeout = absl::Milliseconds(state_part_timeout_ms);
inline constexpr absl::Duration state_retry_pause = absl::Milliseconds(state_retry_pause_ms);
inline constexpr absl::Duration store_precedence = absl::Milliseconds(store_precedence_ms);
inline constexpr absl::Duration first_state_precedence =
    absl::Milliseconds(first_state_precedence_ms);

static_assert(slowest_part_ms < state_part_timeout_ms);
static_assert(slowest_relay_ms(large_state_bytes) < configuration_apply_ms);

} // namespace carobfall
