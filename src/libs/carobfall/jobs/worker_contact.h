#pragma once

#include "carobfall/jobs/interruption_rate.h"

#include <absl/time/time.h>

namespace carobfall {

/// Whether the worker of an agent answers at present. The worker is doubted from a call without an
/// answer until it answers a call that was sent later, and gets no starts meanwhile: a start
/// without an answer may still be carried out, so that its task can't run elsewhere for about a
/// second.
///
/// Load patterns: workers that go down and come up again every second or two, and workers that
/// leave up to half of their orders unanswered.
class worker_contact {
public:
    /// A call that was sent at `requested_at` got no answer.
    void on_unanswered(absl::Time requested_at, absl::Time now);
    /// The worker has answered a call that was sent at `requested_at`. Returns true if this ends
    /// the time in which it was unreachable.
    bool on_answered(absl::Time requested_at);
    /// Marks the worker as unreachable until it answers. Returns false if it is unreachable
    /// already.
    bool mark_unreachable(absl::Time now);
    /// Another incarnation, which has answered, takes the place of the worker. `interrupted`: the
    /// earlier one has ended without draining first.
    void on_replaced(bool interrupted, absl::Time now);

    /// Whether the worker may get starts.
    [[nodiscard]] bool permits_starts() const { return reachable_ && !is_doubted(); }
    [[nodiscard]] bool is_reachable() const { return reachable_; }
    [[nodiscard]] bool is_doubted() const { return unanswered_ > answered_; }
    /// Start of the doubt; infinitely past if there is none.
    [[nodiscard]] absl::Time doubted_since() const
    {
        return is_doubted() ? doubted_since_ : absl::InfinitePast();
    }
    /// Whether the doubt has lasted so long that tasks should no longer wait for the worker.
    [[nodiscard]] bool is_silent(absl::Time now) const;
    [[nodiscard]] double interruptions_per_s(absl::Time now) const
    {
        return interruptions_.per_s(now);
    }

private:
    absl::Time unanswered_{
        absl::InfinitePast()};                  ///< when the latest call without an answer was sent
    absl::Time answered_{absl::InfinitePast()}; ///< when the latest answered call was sent
    absl::Time doubted_since_{absl::InfinitePast()};
    bool reachable_{true};
    interruption_rate interruptions_;
};

} // namespace carobfall
