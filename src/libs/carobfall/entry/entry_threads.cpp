#include "carobfall/entry/entry_threads.h"

namespace carobfall {
namespace {

constexpr absl::Duration push_interval = absl::Milliseconds(250);
// Short, because submissions without a claim are refused until the transfer is complete.
constexpr absl::Duration transfer_interval = absl::Milliseconds(100);
constexpr absl::Duration expiry_interval = absl::Seconds(5);

constexpr absl::Duration view_check_interval = absl::Milliseconds(50);

/// Reads the store every `interval` and as soon as a view takes effect. Until that read the entry's
/// configuration is unconfirmed in the view, and an outage of the store would block task starts.
class store_reader {
public:
    store_reader(membership& members, configuration_replica& replica, absl::Duration interval)
        : members_(members), replica_(replica), interval_(interval)
    {}

    void operator()(absl::Time now)
    {
        const std::uint64_t view = members_.snapshot().view.number();
        if (now < next_ && view == view_) {
            return;
        }
        view_ = view;
        next_ = now + interval_;
        replica_.poll(now);
    }

private:
    membership& members_;
    configuration_replica& replica_;
    absl::Duration interval_;
    std::uint64_t view_{0};
    absl::Time next_{absl::InfinitePast()};
};

} // namespace

entry_threads::entry_threads(membership& members, claim_transfer& transfer, claim_store& claims,
                             configuration_replica& replica, const clock_function& clock,
                             entry_thread_intervals intervals)
    : poll_(view_check_interval, clock, store_reader(members, replica, intervals.poll)),
      heartbeat_(intervals.heartbeat, clock,
                 [&members](absl::Time now) { members.send_heartbeats(now); }),
      view_(intervals.heartbeat, clock, [&members](absl::Time now) { members.tick(now); }),
      transfer_(transfer_interval, clock, [&transfer](absl::Time now) { transfer.tick(now); }),
      push_(push_interval, clock, [&replica](absl::Time /*now*/) { replica.push_to_others(); }),
      expiry_(expiry_interval, clock, [&claims](absl::Time now) { claims.expire(now); })
{}

} // namespace carobfall
