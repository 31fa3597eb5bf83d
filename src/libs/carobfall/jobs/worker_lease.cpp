#include "carobfall/jobs/worker_lease.h"

#include "carobfall/base/boot_clock.h"
#include "carobfall/jobs/run_bounds.h"

#include <algorithm>
#include <utility>

namespace carobfall {

namespace asio = boost::asio;

namespace {

// On the clock of this process, a lease ends at most this much later than requested. The last 50 ms
// are for the worker's timer.
constexpr absl::Duration lapse_margin =
    absl::Milliseconds(longest_on_worker_ms(lease_time_ms) - lease_time_ms + clock_error_ms + 50);

} // namespace

void worker_lease::update_clock(const std::optional<worker_time>& clock, std::uint64_t incarnation,
                                absl::Time now)
{
    if (clock && incarnation == incarnation_) {
        clock_offset_ms_ = *clock - absl::ToUnixMillis(now);
    }
}

worker_time worker_lease::lease_end(absl::Time now) const
{
    return absl::ToUnixMillis(now + lease_time) + clock_offset_ms_;
}

worker_time worker_lease::extend_with_order(absl::Time decided_at)
{
    ordered_until_ = std::max(ordered_until_, decided_at + lease_time);
    return lease_end(decided_at);
}

void worker_lease::end()
{
    renewed_until_ = absl::InfinitePast();
    ordered_until_ = absl::InfinitePast();
    drop_token();
}

bool worker_lease::has_recent_answer(absl::Time now) const
{
    return now - last_answer_at_ < worker_silence_limit;
}

bool worker_lease::has_lapsed(absl::Time now) const
{
    const absl::Time until = std::max(renewed_until_, ordered_until_);
    return until != absl::InfinitePast() && now >= until + lapse_margin;
}

void worker_lease::set_incarnation(std::int64_t started_unix_ms, absl::Time held_until)
{
    started_unix_ms_ = started_unix_ms;
    ++incarnation_;
    last_answer_at_ = absl::InfinitePast();
    end();
    ordered_until_ = held_until;
}

asio::awaitable<bool> worker_lease::ensure_token(std::uint64_t acknowledged_end)
{
    if (fencing_token_) {
        co_return true;
    }
    renewal_order order;
    order.acknowledged_end = acknowledged_end;
    const std::uint64_t incarnation = incarnation_;
    const renewal_reply reply = co_await orders_.renew(order);
    update_clock(reply.clock, incarnation, boot_now());
    if (incarnation != incarnation_) {
        co_return false;
    }
    // A concurrent renewal may have obtained a token.
    if (reply.clock && !fencing_token_) {
        // The token is a time at the worker: it is greater than the tokens of all earlier agents
        // and of earlier incarnations with the same id, whose orders may still be under way. The
        // worker's clock alone is not enough, because it restarts from zero with each incarnation.
        last_token_ = std::max(started_unix_ms_ + *reply.clock, last_token_ + 1);
        fencing_token_ = last_token_;
        log_.write(log_fields("fencing_token").add("token", *fencing_token_), boot_now());
    }
    co_return fencing_token_.has_value();
}

asio::awaitable<renewal_reply> worker_lease::renew(std::uint64_t acknowledged_end, bool extend,
                                                   absl::Duration wait, absl::Time now)
{
    const absl::Time renewed_before = renewed_until_;
    const std::uint64_t incarnation = incarnation_;
    renewal_order order;
    order.fencing_token = *fencing_token_;
    order.acknowledged_end = acknowledged_end;
    order.wait = wait;
    if (extend) {
        order.lease_end = lease_end(now);
        renewed_until_ = std::max(renewed_until_, now + lease_time);
    }
    renewal_reply reply = co_await orders_.renew(order);
    if (incarnation != incarnation_) {
        co_return reply;
    }
    update_clock(reply.clock, incarnation, boot_now());
    if (reply.outcome == renewal_outcome::renewed) {
        last_answer_at_ = boot_now();
    } else if (reply.outcome == renewal_outcome::unreachable ||
               reply.outcome == renewal_outcome::gone) {
        // A concurrent renewal may have extended the lease.
        if (extend && renewed_until_ == now + lease_time) {
            renewed_until_ = renewed_before;
        }
    } else if (reply.outcome == renewal_outcome::fenced && fencing_token_ == order.fencing_token) {
        drop_token();
    }
    co_return reply;
}

asio::awaitable<renewal_reply> worker_lease::identify(std::string id)
{
    renewal_order order;
    order.worker_id = std::move(id);
    order.fencing_token = fencing_token_.value_or(0);
    co_return co_await orders_.renew(order);
}

} // namespace carobfall
