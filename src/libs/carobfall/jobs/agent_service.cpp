#include "carobfall/jobs/agent_service.h"

#include "carobfall/base/boot_clock.h"
#include "carobfall/base/spawn.h"
#include "carobfall/base/strings.h"
#include "carobfall/jobs/run_bounds.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace carobfall {

namespace asio = boost::asio;

namespace {

constexpr absl::Duration periodic_check_interval = absl::Milliseconds(25);

} // namespace

agent_service::agent_service(const asio::any_io_executor& executor, process_identity identity,
                             worker_orders& orders, operator_view& operators, event_log& log,
                             metrics_registry& metrics)
    : executor_(executor),
      identity_(std::move(identity)),
      orders_(orders),
      operators_(operators),
      log_(log),
      metrics_(metrics),
      lease_(orders, log),
      incarnations_(executor, lease_, ledger_, log),
      run_orders_(executor, orders, ledger_, lease_, contact_, log, metrics,
                  [this](absl::Time now) {
                      if (contact_.is_doubted()) {
                          report_ended_.notify(); // requests a report at once
                      }
                      advance(now);
                  }),
      links_(executor, identity_.name, link_hooks()),
      worker_announced_(executor),
      report_ended_(executor),
      status_sender_(
          identity_, ledger_, contact_, links_, operators, log, metrics,
          [this] {
              return agent_condition{accepts_orders(), reconciled_ && !ledger_.has_past_runs()};
          }),
      state_fetcher_(operators, random_position()),
      state_provider_(operators)
{
    operators_.on_change([this] {
        if (operators_.is_out(identity_.data_centre)) {
            ledger_.return_waiting_tasks("data_centre_out");
        }
        status_sender_.mark_changed();
    });
}

void agent_service::start()
{
    spawn(executor_, renew_leases());
    spawn(executor_, run_periodic_checks());
}

bool agent_service::is_present_worker(const worker_announcement& worker) const
{
    return ledger_.worker() && is_same_incarnation(*ledger_.worker(), worker);
}

asio::awaitable<announcement_effect> agent_service::announce(worker_announcement worker)
{
    if (!ledger_.is_current(worker)) {
        co_return announcement_effect::ignored;
    }
    if (!is_present_worker(worker)) {
        const incarnation_answer answer = co_await incarnations_.check(worker);
        if (answer.check == incarnation_check::refuted) {
            metrics_.add("foreign_announcements_total");
            co_return announcement_effect::foreign;
        }
        if (answer.check == incarnation_check::unanswered) {
            co_return announcement_effect::unconfirmed;
        }
        const bool restarted = ledger_.worker() && ledger_.worker()->id == worker.id;
        if (restarted && !is_present_worker(worker)) {
            if (answer.requested_at < incarnation_heard_at_) {
                // A later incarnation has answered meanwhile.
                co_return announcement_effect::unconfirmed;
            }
            begin_incarnation(answer.report, answer.requested_at, boot_now());
        }
    }
    co_return adopt(worker, boot_now());
}

void agent_service::begin_incarnation(const worker_report& report, absl::Time requested_at,
                                      absl::Time now)
{
    log_.write(log_fields("worker_restarted")
                   .add("worker", ledger_.worker()->id)
                   .add("started_unix_ms", report.started_unix_ms)
                   .add("runs", ledger_.on_worker())
                   .add("listed", report.active.size()),
               now);
    lease_.set_incarnation(report.started_unix_ms, now + longest_lease);
    contact_.on_replaced(!worker_leaving_, now);
    incarnation_heard_at_ = now;
    reconciled_ = false;
    worker_leaving_ = false;
    ledger_.begin_incarnation(report, requested_at, now);
    status_sender_.update_description();
    status_sender_.mark_changed();
    advance(now);
}

announcement_effect agent_service::adopt(const worker_announcement& worker, absl::Time now)
{
    const std::optional<worker_announcement> before = ledger_.worker();
    const bool restarted = !is_present_worker(worker);
    if (!ledger_.announce(worker, now)) {
        return announcement_effect::ignored;
    }
    status_sender_.update_description();
    if (restarted) {
        orders_.set_target(worker);
        lease_.set_incarnation(worker.started_unix_ms);
        contact_.on_replaced(before && before->state == worker_state::ready && !worker_leaving_,
                             now);
        incarnation_heard_at_ = now;
        reconciled_ = false;
        worker_leaving_ = false;
        worker_announced_.notify();
    }
    const bool changed =
        restarted || before->state != worker.state || !is_same_description(*before, worker);
    if (changed) {
        log_.write(log_fields("worker_announced")
                       .add("worker", worker.id)
                       .add("service", worker.service)
                       .add("labels", absl::StrJoin(worker.labels, ","))
                       .add("draining", worker.state == worker_state::draining)
                       .add("cpu_millicores", worker.capacity.cpu_millicores)
                       .add("started_unix_ms", worker.started_unix_ms),
                   now);
        status_sender_.mark_changed();
    }
    advance(now);
    return changed ? announcement_effect::changed : announcement_effect::repeated;
}

asio::awaitable<void> agent_service::restore_worker(worker_announcement worker)
{
    // The next heartbeat is later than the stored announcement and replaces it.
    announcement_effect effect = announcement_effect::unconfirmed;
    asio::steady_timer pause(executor_);
    while (!ledger_.worker() && effect == announcement_effect::unconfirmed) {
        effect = co_await announce(worker);
        // While too many announcements are checked, `announce` returns without waiting.
        pause.expires_after(timer_duration(renewal_retry_delay));
        co_await pause.async_wait(asio::use_awaitable);
    }
    if (effect == announcement_effect::changed) {
        log_.write(log_fields("worker_recalled").add("worker", worker.id), boot_now());
    }
}

void agent_service::worker_left(std::string_view id)
{
    const absl::Time now = boot_now();
    if (!ledger_.worker() || ledger_.worker()->id != id) {
        return;
    }
    if (ledger_.on_worker() == 0) {
        remove_worker(id, "worker_left", now);
        return;
    }
    worker_leaving_ = true;
    status_sender_.mark_changed();
    log_.write(log_fields("worker_leaving").add("worker", id).add("runs", ledger_.on_worker()),
               now);
    ledger_.return_waiting_tasks("worker_left");
    advance(now);
}

void agent_service::remove_worker(std::string_view id, std::string_view event, absl::Time now)
{
    log_.write(log_fields(event).add("worker", id), now);
    worker_leaving_ = false;
    ledger_.remove_worker(id);
    status_sender_.update_description();
    status_sender_.mark_changed();
    advance(now);
}

entry_link::hooks agent_service::link_hooks()
{
    entry_link::hooks hooks;
    hooks.on_open = [this](entry_link& link) { on_open(link); };
    hooks.on_frame = [this](entry_link& link, fleet::entry_frame& frame) { on_frame(link, frame); };
    hooks.on_closed = [this](session_number session, absl::Time permitted_until) {
        on_closed(session, permitted_until);
    };
    return hooks;
}

void agent_service::add_entries(const std::vector<std::string>& addresses)
{
    const absl::Time now = boot_now();
    links_.add(addresses, now);
    for (const std::string& address : links_.remove_expired(now)) {
        log_.write(log_fields("entry_forgotten").add("address", address), now);
    }
}

void agent_service::drain()
{
    draining_ = true;
    ledger_.return_waiting_tasks("agent_draining");
    status_sender_.mark_changed();
    advance(boot_now());
}

bool agent_service::accepts_orders() const
{
    return ledger_.worker() && ledger_.worker()->state == worker_state::ready && reconciled_ &&
           contact_.is_reachable() && !worker_leaving_ && !draining_ &&
           !operators_.is_out(identity_.data_centre);
}

void agent_service::on_open(entry_link& link)
{
    const absl::Time now = boot_now();
    log_.write(log_fields("entry_connected").add("address", link.address()), now);
    fleet::agent_frame frame;
    for (const std::string& address : links_.open_addresses()) {
        frame.add_entries(address);
    }
    status_sender_.send(link, frame, now);
}

void agent_service::on_frame(entry_link& link, fleet::entry_frame& frame)
{
    const absl::Time now = boot_now();
    exchange_operator_state(link, frame, now);
    if (frame.entries_size() > 0) {
        add_entries({frame.entries().begin(), frame.entries().end()});
    }
    for (const fleet::task_stop& stop : frame.stops()) {
        ledger_.request_stop(link.session(), stop, now);
    }
    for (const fleet::task_order& order : frame.orders()) {
        ledger_.add(link.session(), order, now);
        status_sender_.mark_changed();
    }
    if (!accepts_orders()) {
        ledger_.return_waiting_tasks("not_accepting");
    }
    advance(now);
}

void agent_service::exchange_operator_state(entry_link& link, const fleet::entry_frame& frame,
                                            absl::Time now)
{
    state_fetcher_.on_stamp(link.session(), stamp_of(frame), now);
    if (frame.has_wanted_state()) {
        fleet::agent_frame reply;
        *reply.mutable_state() = state_provider_.answer(link.session(), frame.wanted_state(), now);
        count_sent_part(reply.state(), "entry", metrics_);
        status_sender_.send(link, reply, now);
    }
    if (frame.has_state()) {
        const state_part_outcome outcome =
            state_fetcher_.on_part(link.session(), frame.state(), now);
        count_received_part(frame.state(), outcome, "entry", metrics_);
        if (outcome == state_part_outcome::adopted) {
            operators_.record_adoption(link.entry_name(), log_, metrics_, now);
        }
    }
    request_operator_state(now);
}

void agent_service::request_operator_state(absl::Time now)
{
    const std::optional<state_fetch> fetch = state_fetcher_.next_request(now);
    entry_link* link = fetch ? links_.find(fetch->peer) : nullptr;
    if (link == nullptr) {
        return;
    }
    fleet::agent_frame frame;
    *frame.mutable_wanted_state() = fetch->request;
    status_sender_.send(*link, frame, now);
}

void agent_service::on_closed(session_number session, absl::Time permitted_until)
{
    const absl::Time now = boot_now();
    log_.write(log_fields("entry_lost").add("session", session), now);
    state_fetcher_.on_peer_lost(session);
    state_provider_.on_peer_lost(session);
    ledger_.drop_session(session, std::min(now, permitted_until));
    advance(now);
}

asio::awaitable<void> agent_service::renew_leases()
{
    while (true) {
        if (!ledger_.worker()) {
            co_await worker_announced_.wait();
            continue;
        }
        const absl::Time now = boot_now();
        if (reports_.is_due(ledger_.on_worker() > 0 && lease_.fencing_token(),
                            contact_.doubted_since(), now)) {
            reports_.on_requested(now);
            spawn(executor_, renew_lease(*ledger_.worker()));
        }
        co_await report_ended_.wait_for(timer_duration(report_schedule::interval()));
    }
}

asio::awaitable<void> agent_service::renew_lease(worker_announcement worker)
{
    const bool has_token = co_await lease_.ensure_token(ledger_.acknowledged_end());
    const absl::Time requested_at = boot_now();
    renewal_reply reply;
    bool extend = false;
    if (has_token) {
        extend = may_extend_lease(requested_at);
        // Without an extension, or with a doubted worker, the agent needs the report soon: the
        // worker must not delay it.
        const bool may_wait = extend && !contact_.is_doubted();
        reply = co_await lease_.renew(ledger_.acknowledged_end(), extend,
                                      may_wait ? renewal_wait : absl::ZeroDuration(), requested_at);
    }
    const bool answered = handle_renewal(reply, worker, requested_at, boot_now());
    // Limits the rate of renewals whose answers the worker does not delay until a run ends.
    if (!answered || (reconciled_ && !extend)) {
        asio::steady_timer pause(executor_, timer_duration(renewal_retry_delay));
        co_await pause.async_wait(asio::use_awaitable);
    }
    reports_.on_ended();
    report_ended_.notify();
}

bool agent_service::handle_renewal(const renewal_reply& reply, const worker_announcement& worker,
                                   absl::Time requested_at, absl::Time now)
{
    const bool same_worker = is_present_worker(worker);
    if (reply.outcome == renewal_outcome::renewed && same_worker) {
        if (reply.report.started_unix_ms != 0 &&
            reply.report.started_unix_ms != worker.started_unix_ms) {
            // An answer to an earlier request may be a late one of the earlier incarnation.
            if (requested_at >= incarnation_heard_at_ && reports_.accept(requested_at)) {
                begin_incarnation(reply.report, requested_at, now);
            }
            return true;
        }
        incarnation_heard_at_ = now;
        const bool latest = reports_.accept(requested_at);
        if (latest) {
            ledger_.on_report(reply.report, requested_at, now);
        }
        if (!reply.report.complete) {
            log_.write(log_fields("report_incomplete")
                           .add("worker", worker.id)
                           .add("runs", reply.report.active.size())
                           .add("ends", reply.report.ends.size()),
                       now);
        }
        reconciled_ = reconciled_ || (latest && reply.report.complete && ledger_.on_worker() == 0);
        if (contact_.on_answered(requested_at)) {
            status_sender_.mark_changed();
            log_.write(log_fields("worker_reachable").add("worker", worker.id), now);
        }
        advance(now);
        return true;
    }
    if (reply.outcome == renewal_outcome::other_incarnation && same_worker) {
        remove_worker(worker.id, "worker_replaced", now);
        return true;
    }
    if (same_worker && is_unanswered(reply.outcome)) {
        contact_.on_unanswered(requested_at, now);
    }
    if (reply.outcome == renewal_outcome::gone) {
        if (worker_leaving_ && same_worker) {
            remove_worker(worker.id, "worker_left", now);
            return true;
        }
        mark_worker_unreachable("worker_gone", now);
    }
    check_lapse(now);
    return false;
}

lease_obstacle agent_service::find_lease_obstacle(absl::Time now) const
{
    return carobfall::find_lease_obstacle({reconciled_, worker_leaving_,
                                           lease_.has_recent_answer(now),
                                           ledger_.overdue_stop(now) != nullptr});
}

bool agent_service::may_extend_lease(absl::Time now)
{
    drop_silent_entries(now);
    const lease_obstacle obstacle = find_lease_obstacle(now);
    const bool extended = obstacle == lease_obstacle::none;
    if (std::exchange(lease_obstacle_, obstacle) != obstacle && ledger_.on_worker() > 0) {
        log_.write(
            log_fields(extended ? "lease_extended" : "lease_withheld")
                .add("reason", name_of(obstacle))
                .add("heard_ms_ago", absl::ToInt64Milliseconds(now - lease_.last_answer_at()))
                .add("runs", ledger_.on_worker()),
            now);
        metrics_.add("lease_changes_total");
    }
    return extended;
}

void agent_service::check_lapse(absl::Time now)
{
    if (!lease_.has_lapsed(now)) {
        return;
    }
    mark_worker_unreachable("lease_lapsed", now);
    lease_.end();
    ledger_.end_runs("lease_lapsed");
    advance(now);
}

void agent_service::mark_worker_unreachable(std::string_view reason, absl::Time now)
{
    if (!contact_.mark_unreachable(now)) {
        return;
    }
    metrics_.add("worker_interruptions_total");
    status_sender_.mark_changed();
    log_.write(log_fields("worker_unreachable")
                   .add("reason", reason)
                   .add("heard_ms_ago", absl::ToInt64Milliseconds(now - lease_.last_answer_at()))
                   .add("runs", ledger_.on_worker()),
               now);
    ledger_.return_waiting_tasks("worker_unreachable");
    advance(now);
}

asio::awaitable<void> agent_service::run_periodic_checks()
{
    asio::steady_timer timer(executor_);
    while (true) {
        timer.expires_after(timer_duration(periodic_check_interval));
        co_await timer.async_wait(asio::use_awaitable);
        const absl::Time now = boot_now();
        drop_silent_entries(now);
        links_.update_selection(
            now, [this](session_number session) { return ledger_.has_tasks(session); });
        ledger_.expire(now);
        check_lapse(now);
        if (ledger_.worker() && contact_.is_silent(now)) {
            mark_worker_unreachable("worker_silent", now);
        }
        request_operator_state(now);
        advance(now);
        log_.flush();
    }
}

void agent_service::drop_silent_entries(absl::Time now)
{
    links_.for_each_open([&](entry_link& link) {
        if (!link.permits_starts(now) && link.close()) {
            log_.write(log_fields("entry_silent").add("address", link.address()), now);
            metrics_.add("entries_silent_total");
            ledger_.drop_session(link.session(), link.permitted_until());
        }
    });
}

void agent_service::advance(absl::Time now)
{
    // A start extends the lease of all runs; the process may have been paused since the last check.
    drop_silent_entries(now);
    if (worker_leaving_ && ledger_.worker() && ledger_.on_worker() == 0) {
        remove_worker(std::string(ledger_.worker()->id), "worker_left", now);
        return;
    }
    const auto may_run = [this, now](session_number session) {
        const entry_link* link = links_.find(session);
        return link != nullptr && link->permits_starts(now);
    };
    const bool in_service = contact_.permits_starts() &&
                            find_lease_obstacle(now) == lease_obstacle::none &&
                            !operators_.is_out(identity_.data_centre);
    while (in_service) {
        const auto next = ledger_.begin_next(now, may_run);
        if (!next) {
            break;
        }
        spawn(executor_, run_orders_.start(*next));
    }
    while (const auto next = ledger_.begin_stop()) {
        spawn(executor_, run_orders_.stop(*next));
    }
    if (std::exchange(advance_posted_, true)) {
        return;
    }
    // Collects the changes of one event loop iteration in one frame.
    asio::post(executor_, [this] {
        advance_posted_ = false;
        status_sender_.send_due(boot_now());
        log_.flush();
    });
}

std::string agent_service::state_text(absl::Time now) const
{
    const std::int64_t capacity = ledger_.worker() ? ledger_.worker()->capacity.cpu_millicores : 0;
    return absl::StrCat(
        "accepting ", accepts_orders(), "\nworker_known ", ledger_.worker().has_value(),
        "\nworker_reachable ", contact_.is_reachable(), "\nwaiting ", ledger_.waiting(),
        "\non_worker ", ledger_.on_worker(), "\ncapacity_millicores ", capacity,
        "\nfree_millicores ", ledger_.worker() ? ledger_.free_room().cpu_millicores : 0,
        "\nslowness ", ledger_.slowness(now), "\nfailure_share ", ledger_.failure_share(now),
        "\ninterruptions_per_s ", contact_.interruptions_per_s(now), "\nopen_links ", open_links(),
        "\n");
}

} // namespace carobfall
