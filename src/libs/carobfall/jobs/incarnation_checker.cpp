#include "carobfall/jobs/incarnation_checker.h"

#include "carobfall/base/boot_clock.h"
#include "carobfall/jobs/run_bounds.h"

#include <absl/cleanup/cleanup.h>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace carobfall {

namespace asio = boost::asio;

namespace {

// Longest time for the check of an announcement. The sender of a heartbeat waits for 1 s.
constexpr absl::Duration confirmation_time = absl::Milliseconds(700);
// Number of announcements that are checked at the same time.
constexpr std::size_t max_open_checks = 4;

} // namespace

asio::awaitable<incarnation_answer> incarnation_checker::check(const worker_announcement& worker)
{
    if (open_checks_ >= max_open_checks) {
        co_return incarnation_answer{};
    }
    ++open_checks_;
    const absl::Cleanup closed = [this] { --open_checks_; };
    const absl::Time end = boot_now() + confirmation_time;
    asio::steady_timer pause(executor_);
    while (true) {
        const absl::Time requested_at = boot_now();
        renewal_reply reply = co_await lease_.identify(worker.id);
        const bool id_in_use = ledger_.worker() && ledger_.worker()->id == worker.id;
        const incarnation_check check = check_announcement(worker, reply, id_in_use);
        const absl::Time now = boot_now();
        if (check != incarnation_check::unanswered || now >= end) {
            log_.write(log_fields("incarnation_checked")
                           .add("worker", worker.id)
                           .add("service", worker.service)
                           .add("started_unix_ms", worker.started_unix_ms)
                           .add("outcome", name_of(check)),
                       now);
            co_return incarnation_answer{check, std::move(reply.report), requested_at};
        }
        pause.expires_after(timer_duration(renewal_retry_delay));
        co_await pause.async_wait(asio::use_awaitable);
    }
}

} // namespace carobfall
