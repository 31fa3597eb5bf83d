#include "carobfall/jobs/worker_lease.h"

#include "carobfall/base/boot_clock.h"
#include "carobfall/jobs/run_bounds.h"

#include <algorithm>

namespace carobfall {

namespace asio = boost::asio;

namespace {

// The worker's clock may be 2% slow; the margin covers the way of the order.
constexpr double clock_rate_margin = 1.02;
constexpr absl::Duration lapse_margin = absl::Milliseconds(100);

} // namespace

void worker_lease::note_clock(const std::optional<worker_time>& clock, absl::Time now)
{
    if (clock) {
        clock_offset_ms_ = *clock - absl::ToUnixMillis(now);
    }
}

worker_time worker_lease::lease_end(absl::Time now) const
{
    return absl::ToUnixMillis(now + lease_time) + clock_offset_ms_;
}

worker_time worker_lease::extend_with_order(absl::Time now)
{
    lease_until_ = std::max(lease_until_, now + lease_time);
    return lease_end(now);
}

void worker_lease::end()
{
    lease_until_ = absl::InfinitePast();
    drop_token();
}

bool worker_lease::hears_worker(absl::Time now) const
{
    return now - heard_at_ < worker_silence_limit;
}

bool worker_lease::has_lapsed(absl::Time now) const
{
    return lease_until_ != absl::InfinitePast() &&
           now >= lease_until_ + lease_time * (clock_rate_margin - 1) + lapse_margin;
}

asio::awaitable<void> worker_lease::acquire_token(std::uint64_t acknowledged_end)
{
    // The worker's clock rises for as long as the worker remembers tokens, so that a time on it is
    // higher than the token of every earlier agent.
    renewal_order order;
    order.acknowledged_end = acknowledged_end;
    const renewal_reply reply = co_await orders_.renew(order);
    note_clock(reply.clock, boot_now());
    if (reply.clock) {
        // Another renewal may have taken one meanwhile.
        fencing_token_ = std::max<std::int64_t>(*reply.clock, fencing_token_.value_or(1));
        log_.write(log_fields("fencing_token").add("token", *fencing_token_), boot_now());
    }
}

asio::awaitable<renewal_reply> worker_lease::renew(std::uint64_t acknowledged_end, bool has_runs,
                                                   absl::Duration wait)
{
    if (!fencing_token_) {
        co_await acquire_token(acknowledged_end);
    }
    if (!fencing_token_) {
        co_return renewal_reply{};
    }
    const absl::Time asked_at = boot_now();
    const absl::Time lease_before = lease_until_;
    renewal_order order;
    order.fencing_token = *fencing_token_;
    order.acknowledged_end = acknowledged_end;
    order.wait = wait;
    if (hears_worker(asked_at) || !has_runs) {
        order.lease_end = lease_end(asked_at);
        lease_until_ = asked_at + lease_time;
    }
    renewal_reply reply = co_await orders_.renew(order);
    note_clock(reply.clock, boot_now());
    if (reply.outcome == renewal_outcome::renewed) {
        heard_at_ = boot_now();
    } else if (reply.outcome == renewal_outcome::unreachable ||
               reply.outcome == renewal_outcome::gone) {
        // Another renewal may have extended the lease meanwhile.
        if (lease_until_ == asked_at + lease_time) {
            lease_until_ = lease_before;
        }
    } else if (reply.outcome == renewal_outcome::fenced && fencing_token_ == order.fencing_token) {
        drop_token();
    }
    co_return reply;
}

} // namespace carobfall
