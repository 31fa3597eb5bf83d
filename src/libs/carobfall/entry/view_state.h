#pragma once

#include "carobfall/entry/ownership.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/btree_set.h>
#include <absl/synchronization/mutex.h>

#include <cstdint>

namespace carobfall {

/// Maximum time for which agents still start tasks for an entry that has missed a newer view: one
/// second until the entry reads the view again, 2 s for which its configuration counts as current,
/// and 2 s for the last start lease that the entry granted.
inline constexpr absl::Duration superseded_view_grace = absl::Seconds(5);

/// Time after a heartbeat round with replies from a majority during which an entry may assume that
/// its view is in effect. It is shorter than the failure timeout of the peer monitor (3 s), so that
/// it has elapsed before the others remove an entry that doesn't respond.
inline constexpr absl::Duration view_confirmation = absl::Seconds(2);

/// The latest view that this entry has acknowledged and the one in effect at it. Both numbers only
/// increase. Thread-safe.
class view_state {
public:
    explicit view_state(rpc::entry_member self);

    [[nodiscard]] const rpc::entry_member& self() const { return self_; }

    /// Acknowledges the proposal; returns false if a later one has already been acknowledged.
    /// Claims and starts of older views are refused from then on.
    bool acknowledge(const rpc::view_proposal& proposal);
    /// Installs a view that has taken effect; returns false if it is not later than the current
    /// one. A view without a history is the first of its region and complete.
    bool activate(const rpc::view_proposal& proposal, absl::Time now);
    /// Marks this entry as complete in the view in effect if that view has this number.
    void set_complete(std::uint64_t number);

    /// Records that a majority of the members of the view in effect was in that view at `sent`.
    /// Ignored if the view in effect has another number.
    void confirm(std::uint64_t number, absl::Time sent);

    /// Highest view number acknowledged; 0 before the first one.
    [[nodiscard]] std::uint64_t acknowledged_view_number() const;
    /// The view in effect with its history; number 0 before the first one.
    [[nodiscard]] rpc::view_proposal effective() const;
    /// The highest proposal acknowledged.
    [[nodiscard]] rpc::view_proposal acknowledged_proposal() const;
    /// True if this entry was complete in the view with this number.
    [[nodiscard]] bool was_complete_in(std::uint64_t number) const;
    [[nodiscard]] ownership_snapshot snapshot() const;
    /// See `ownership::wait_for_change`.
    bool wait_for_change(std::uint64_t view_number, absl::Duration timeout) const;

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
