#pragma once

#include "carobfall/base/event_log.h"
#include "carobfall/jobs/worker_orders.h"

#include <absl/time/time.h>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>

namespace carobfall {

/// The agent's lease of everything that runs on its worker, and the fencing token of its orders.
class worker_lease {
public:
    worker_lease(worker_orders& orders, event_log& log) : orders_(orders), log_(log) {}

    /// The orders that follow are for the incarnation of the worker that was started then. Those of
    /// the present token must not count for it.
    void set_incarnation(std::int64_t started_unix_ms);
    /// Takes a token unless there is one. False if the worker did not answer.
    boost::asio::awaitable<bool> ensure_token(std::uint64_t acknowledged_end);
    /// Asks for the worker's report and, with `extend`, for a longer lease. `wait`: the answer may
    /// wait this long for the end of a run.
    boost::asio::awaitable<renewal_reply> renew(std::uint64_t acknowledged_end, bool extend,
                                                absl::Duration wait, absl::Time now);
    /// Lease end for an order, which extends the lease. Counts from the decision, so that an order
    /// of a process that stood still after it is refused by the worker as late.
    [[nodiscard]] worker_time extend_with_order(absl::Time decided_at);
    /// Takes the worker's clock from an answer that arrived at `now`, unless it came from an
    /// incarnation before the present one.
    void note_clock(const std::optional<worker_time>& clock, std::uint64_t incarnation,
                    absl::Time now);
    /// Counts incarnations.
    [[nodiscard]] std::uint64_t incarnation() const { return incarnation_; }
    /// Every lease that was asked for has ended.
    void end();
    /// A later holder of the lease has given orders.
    void on_fenced() { drop_token(); }

    [[nodiscard]] const std::optional<std::int64_t>& fencing_token() const
    {
        return fencing_token_;
    }
    [[nodiscard]] bool hears_worker(absl::Time now) const;
    [[nodiscard]] absl::Time heard_at() const { return heard_at_; }
    /// Whether every lease that was asked for has ended on the worker's clock.
    [[nodiscard]] bool has_lapsed(absl::Time now) const;

private:
    /// Orders of the present token must not count any more.
    void drop_token() { fencing_token_.reset(); }
    [[nodiscard]] worker_time lease_end(absl::Time now) const;

    worker_orders& orders_;
    event_log& log_;
    std::optional<std::int64_t> fencing_token_;
    std::int64_t last_token_{0};
    std::int64_t started_unix_ms_{0}; ///< of the worker
    std::int64_t clock_offset_ms_{0}; ///< worker's clock less ours
    std::uint64_t incarnation_{0};
    absl::Time renewed_until_{absl::InfinitePast()}; ///< without renewals that were not sent
    absl::Time ordered_until_{absl::InfinitePast()}; ///< by orders
    absl::Time heard_at_{absl::InfinitePast()};      ///< latest answered renewal
};

} // namespace carobfall
