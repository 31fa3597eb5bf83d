#pragma once

#include "carobfall/rpc/carobfall.pb.h"

#include <absl/time/time.h>

#include <cstdint>

namespace carobfall {

/// Atomic snapshot of the state that determines which entry owns a submission.
struct ownership_snapshot {
    rpc::entry_view view;       ///< the view in effect; number 0 before the first one
    absl::Time effective_since; ///< activation, plus `superseded_view_grace` after the first view
    /// A later view has been acknowledged but is not in effect yet; claims and starts in `view`
    /// are refused.
    bool in_transition{false};
    /// This entry holds every claim made in earlier views for the keys it owns, so that a
    /// submission without a claim is new.
    bool complete{false};
    bool is_member{false}; ///< this incarnation is a member of `view`
    /// Until this time no other entry starts submissions that this entry coordinates in `view`.
    absl::Time confirmed_until{absl::InfiniteFuture()};

    [[nodiscard]] bool usable() const { return is_member && !in_transition && view.number() != 0; }
};

/// Access to the state of the region's view at this entry. Thread-safe.
class ownership {
public:
    virtual ~ownership() = default;

    [[nodiscard]] virtual const rpc::entry_member& self() const = 0;
    [[nodiscard]] virtual ownership_snapshot snapshot() const = 0;
    /// Blocks until the view in effect has another number than `view_number` or `timeout` has
    /// elapsed. Returns false on timeout.
    virtual bool wait_for_change(std::uint64_t view_number, absl::Duration timeout) const = 0;
};

} // namespace carobfall
