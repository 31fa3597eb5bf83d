#pragma once

#include "carobfall/base/event_log.h"
#include "carobfall/jobs/worker_orders.h"

#include <absl/time/time.h>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>

namespace carobfall {

/// The lease that the agent holds on the runs of its worker, and the fencing token of its orders.
class worker_lease {
public:
    worker_lease(worker_orders& orders, event_log& log) : orders_(orders), log_(log) {}

    /// Sets the incarnation of the worker for later orders; its start time identifies it. The
    /// current fencing token and lease end with the earlier incarnation. `held_until`: end of the
    /// leases that the new incarnation may have granted already.
    void set_incarnation(std::int64_t started_unix_ms,
                         absl::Time held_until = absl::InfinitePast());
    /// Obtains a fencing token if there is none. Returns false if the worker did not answer.
    boost::asio::awaitable<bool> ensure_token(std::uint64_t acknowledged_end);
    /// Requests a report and, with `extend`, an extension of the lease. `wait`: the worker may
    /// delay its answer by this much until a run ends.
    boost::asio::awaitable<renewal_reply> renew(std::uint64_t acknowledged_end, bool extend,
                                                absl::Duration wait, absl::Time now);
    /// Asks the process at the worker's address for a report, addressed to the worker `id`. Extends
    /// no lease and acknowledges no end.
    boost::asio::awaitable<renewal_reply> identify(std::string id);
    /// Extends the lease for a start order and returns the lease end of the order, computed from
    /// `decided_at`. If a pause of this process after the decision delays the order beyond that
    /// end, the worker refuses the order.
    [[nodiscard]] worker_time extend_with_order(absl::Time decided_at);
    /// Updates the offset of the worker's clock from an answer that arrived at `now`. Answers of an
    /// earlier incarnation are ignored.
    void update_clock(const std::optional<worker_time>& clock, std::uint64_t incarnation,
                      absl::Time now);
    /// Number of incarnations of the worker so far.
    [[nodiscard]] std::uint64_t incarnation() const { return incarnation_; }
    /// Records that the lease has ended. Called when `has_lapsed` is true.
    void end();
    /// Drops the token after the worker has refused it, because it knows a later token.
    void on_fenced() { drop_token(); }

    [[nodiscard]] const std::optional<std::int64_t>& fencing_token() const
    {
        return fencing_token_;
    }
    [[nodiscard]] bool has_recent_answer(absl::Time now) const;
    [[nodiscard]] absl::Time last_answer_at() const { return last_answer_at_; }
    /// Whether every lease that was requested has ended on the clock of the worker.
    [[nodiscard]] bool has_lapsed(absl::Time now) const;

private:
    /// Prevents further orders with the current token.
    void drop_token() { fencing_token_.reset(); }
    [[nodiscard]] worker_time lease_end(absl::Time now) const;

    worker_orders& orders_;
    event_log& log_;
    std::optional<std::int64_t> fencing_token_;
    std::int64_t last_token_{0};
    std::int64_t started_unix_ms_{0}; ///< start time of the worker
    std::int64_t clock_offset_ms_{0}; ///< clock of the worker minus the clock of this process
    std::uint64_t incarnation_{0};
    absl::Time renewed_until_{absl::InfinitePast()};  ///< lease end requested by sent renewals
    absl::Time ordered_until_{absl::InfinitePast()};  ///< lease end requested by start orders
    absl::Time last_answer_at_{absl::InfinitePast()}; ///< time of the latest answered renewal
};

} // namespace carobfall
