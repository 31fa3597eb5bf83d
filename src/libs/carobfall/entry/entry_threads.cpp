#include "carobfall/entry/entry_threads.h"

namespace carobfall {
namespace {

constexpr absl::Duration push_interval = absl::Milliseconds(250);
// Short, because unknown submissions are refused until the transfer is done.
constexpr absl::Duration transfer_interval = absl::Milliseconds(100);
constexpr absl::Duration expiry_interval = absl::Seconds(5);

} // namespace

entry_threads::entry_threads(membership& members, claim_transfer& transfer, claim_store& claims,
                             configuration_keeper& keeper, const clock_function& clock,
                             entry_thread_intervals intervals)
    : poll_(intervals.poll, clock, [&keeper](absl::Time now) { keeper.poll(now); }),
      beat_(intervals.heartbeat, clock, [&members](absl::Time now) { members.beat(now); }),
      view_(intervals.heartbeat, clock, [&members](absl::Time now) { members.tick(now); }),
      transfer_(transfer_interval, clock, [&transfer](absl::Time now) { transfer.tick(now); }),
      push_(push_interval, clock, [&keeper](absl::Time /*now*/) { keeper.push_to_others(); }),
      expiry_(expiry_interval, clock, [&claims](absl::Time now) { claims.expire(now); })
{}

} // namespace carobfall
