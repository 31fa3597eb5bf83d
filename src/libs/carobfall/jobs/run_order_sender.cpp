#include "carobfall/jobs/run_order_sender.h"

#include "carobfall/base/boot_clock.h"
#include "carobfall/base/strings.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace carobfall {

namespace asio = boost::asio;

namespace {

constexpr absl::Duration stop_retry_delay = absl::Milliseconds(10);
constexpr absl::Duration max_stop_retry_delay = absl::Milliseconds(50);

} // namespace

run_order_sender::run_order_sender(const asio::any_io_executor& executor, worker_orders& orders,
                                   worker_ledger& ledger, worker_lease& lease,
                                   worker_contact& contact, event_log& log,
                                   metrics_registry& metrics,
                                   std::function<void(absl::Time now)> on_answered)
    : executor_(executor),
      orders_(orders),
      ledger_(ledger),
      lease_(lease),
      contact_(contact),
      log_(log),
      metrics_(metrics),
      on_answered_(std::move(on_answered))
{}

asio::awaitable<void> run_order_sender::start(worker_ledger::record_number number)
{
    const run_record* record = ledger_.find(number);
    if (record == nullptr || !lease_.fencing_token()) {
        ledger_.on_start_reply(number, {start_outcome::not_sent, std::nullopt}, boot_now());
        co_return;
    }
    const absl::Time received = record->received;
    const absl::Time ordered = record->ordered_at;
    start_order order;
    order.task = run_of(*record);
    order.spec = record->order.spec();
    order.lease_end = lease_.extend_with_order(ordered);
    order.fencing_token = *lease_.fencing_token();
    const std::uint64_t incarnation = lease_.incarnation();
    const start_reply reply = co_await orders_.start(order);
    const absl::Time now = boot_now();
    lease_.update_clock(reply.clock, incarnation, now);
    if (incarnation == lease_.incarnation()) {
        if (reply.outcome == start_outcome::no_answer || reply.outcome == start_outcome::not_sent) {
            contact_.on_unanswered(ordered, now);
        } else {
            contact_.on_answered(ordered);
        }
    }
    if (reply.outcome == start_outcome::fenced) {
        lease_.on_fenced();
    }
    log_.write(log_fields("start_ordered")
                   .add("job", order.task.job_id)
                   .add("task", order.task.index)
                   .add("run", order.task.run)
                   .add("waited_ms", absl::ToInt64Milliseconds(ordered - received))
                   .add("answer_ms", absl::ToInt64Milliseconds(now - ordered))
                   .add("outcome", name_of(reply.outcome)),
               now);
    metrics_.add(absl::StrCat("orders_total{outcome=\"", to_absl(name_of(reply.outcome)), "\"}"));
    metrics_.distribution("order_wait_seconds").record(absl::ToDoubleSeconds(ordered - received));
    ledger_.on_start_reply(number, reply, now);
    on_answered_(now);
}

asio::awaitable<void> run_order_sender::stop(worker_ledger::record_number number)
{
    const run_record* record = ledger_.find(number);
    bool answered = false;
    const std::uint32_t tries = record == nullptr ? 0 : record->stop_tries;
    const absl::Time requested_at = boot_now();
    if (record != nullptr && lease_.fencing_token()) {
        const task_run task = run_of(*record);
        // A worker that closes each connection gets many stop orders: only the first is logged.
        const bool first = tries == 1;
        if (first) {
            log_.write(log_fields("stop_ordered")
                           .add("job", task.job_id)
                           .add("task", task.index)
                           .add("run", task.run)
                           .add("reason", record->stop_reason),
                       requested_at);
        }
        answered = co_await orders_.stop(task, *lease_.fencing_token());
        if (!answered) {
            metrics_.add("stops_unanswered_total");
        }
        if (!answered && first) {
            log_.write(log_fields("stop_unanswered")
                           .add("job", task.job_id)
                           .add("task", task.index)
                           .add("run", task.run)
                           .add("waited_ms", absl::ToInt64Milliseconds(boot_now() - requested_at)),
                       boot_now());
        }
    }
    if (!answered) {
        const absl::Duration wait = tries * stop_retry_delay;
        asio::steady_timer pause(executor_, timer_duration(std::min(wait, max_stop_retry_delay)));
        co_await pause.async_wait(asio::use_awaitable);
    }
    const absl::Time now = boot_now();
    ledger_.on_stop_reply(number, answered, now);
    on_answered_(now);
}

} // namespace carobfall
