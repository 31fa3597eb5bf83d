#pragma once

#include "carobfall/rpc/carobfall.pb.h"

#include <absl/time/time.h>

#include <cstdint>

namespace carobfall {

/// What an entry may rely on when it decides who owns a submission.
struct ownership_snapshot {
    rpc::entry_view view; ///< the view in effect; number 0 before the first one
    absl::Time effective_since;
    /// A later view has been acknowledged and is not in effect yet: claims and starts in `view`
    /// are refused.
    bool in_transition{false};
    /// Every claim made in earlier views for keys of this entry is known here, so that an unknown
    /// submission is a new one.
    bool complete{false};
    bool is_member{false}; ///< this incarnation is in `view`
    /// No other entry starts submissions that this entry coordinates in `view` before this time.
    absl::Time confirmed_until{absl::InfiniteFuture()};

    [[nodiscard]] bool usable() const { return is_member && !in_transition && view.number() != 0; }
};

/// The entry's knowledge of its region's view. Thread-safe.
class ownership {
public:
    virtual ~ownership() = default;

    [[nodiscard]] virtual const rpc::entry_member& self() const = 0;
    [[nodiscard]] virtual ownership_snapshot snapshot() const = 0;
    /// Blocks until the snapshot differs from one with this view number, or until `limit` has
    /// elapsed. False on time-out.
    virtual bool wait_for_change(std::uint64_t view_number, absl::Duration limit) const = 0;
};

} // namespace carobfall
