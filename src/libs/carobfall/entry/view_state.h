#pragma once

#include "carobfall/entry/ownership.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/btree_set.h>
#include <absl/synchronization/mutex.h>

#include <cstdint>

namespace carobfall {

/// Time after which entries that have not learnt of a newer view can no longer have tasks started:
/// they re-read the view at least every second, treat their configuration as current for 2 s, and
/// a start lease granted at the last moment lasts 2 s.
inline constexpr absl::Duration superseded_view_grace = absl::Seconds(5);

/// Time after a heartbeat round that a majority answered during which an entry may take its view
/// for the one in effect. It is shorter than the failure time-out of the peer monitor (3 s), so
/// that it has passed before the others remove an entry that doesn't answer.
inline constexpr absl::Duration view_confirmation = absl::Seconds(2);

/// The views that this entry has acknowledged and that are in effect for it. Both numbers only
/// grow. Thread-safe.
class view_state {
public:
    explicit view_state(rpc::entry_member self);

    [[nodiscard]] const rpc::entry_member& self() const { return self_; }

    /// True if the proposal is the highest one acknowledged, now or before. Claims and starts of
    /// older views are refused from then on.
    bool acknowledge(const rpc::view_proposal& proposal);
    /// Takes up a view that has taken effect; false if it is not later than the present one.
    /// A view without history is the first of its region and complete.
    bool activate(const rpc::view_proposal& proposal, absl::Time now);
    /// Marks the view in effect as complete if it has this number.
    void set_complete(std::uint64_t number);

    /// A majority of the view in effect, if it has this number, was in it at `sent`.
    void confirm(std::uint64_t number, absl::Time sent);

    /// Highest view number acknowledged; 0 before the first one.
    [[nodiscard]] std::uint64_t acknowledged() const;
    /// The view in effect with its history; number 0 before the first one.
    [[nodiscard]] rpc::view_proposal effective() const;
    /// The highest proposal acknowledged.
    [[nodiscard]] rpc::view_proposal acknowledged_proposal() const;
    /// This entry was complete in the view with this number.
    [[nodiscard]] bool was_complete_in(std::uint64_t number) const;
    [[nodiscard]] ownership_snapshot snapshot() const;
    /// See `ownership::wait_for_change`.
    bool wait_for_change(std::uint64_t view_number, absl::Duration limit) const;

private:
    const rpc::entry_member self_;
    mutable absl::Mutex mutex_;
    rpc::view_proposal acknowledged_ ABSL_GUARDED_BY(mutex_);
    rpc::view_proposal effective_ ABSL_GUARDED_BY(mutex_);
    absl::Time effective_since_ ABSL_GUARDED_BY(mutex_){absl::InfinitePast()};
    absl::Time confirmed_until_ ABSL_GUARDED_BY(mutex_){absl::InfinitePast()};
    absl::btree_set<std::uint64_t> complete_in_ ABSL_GUARDED_BY(mutex_);
};

} // namespace carobfall
