#include "carobfall/jobs/worker_ledger.h"

#include "carobfall/base/strings.h"
#include "carobfall/jobs/run_bounds.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace carobfall {
namespace {

// Longest time between a report and the request for the next one, which lists the runs that have
// ended in between. A longer gap means that a report was lost.
constexpr absl::Duration max_report_gap = absl::Milliseconds(15);
// A report that takes longer was delayed by the network or by a pause of this process.
constexpr absl::Duration max_answer_time = absl::Milliseconds(250);
// Lower bound of measured run times, because 0 in an event means that the run time is unknown.
constexpr absl::Duration min_run_time = absl::Milliseconds(1);
// Delay after a refusal for lack of room, about the time until a run ends.
constexpr absl::Duration no_room_retry_delay = absl::Milliseconds(20);

} // namespace

bool worker_ledger::announce(const worker_announcement& worker, absl::Time received_at)
{
    const worker_change change = worker_.adopt(worker, received_at);
    if (change == worker_change::none) {
        return false;
    }
    if (change == worker_change::replaced) {
        end_runs("worker_restarted");
        // Entries placed the waiting tasks on the earlier worker, which may have been of another
        // kind.
        return_waiting_tasks("worker_restarted");
        reset_incarnation();
    }
    if (this->worker()->state == worker_state::draining) {
        return_waiting_tasks("worker_draining");
    }
    return_mismatched_tasks();
    return true;
}

void worker_ledger::return_mismatched_tasks()
{
    for (auto record = records_.begin(); record != records_.end();) {
        const auto current = record++;
        const std::string_view mismatch = mismatch_of(current->second, *worker());
        if (current->second.phase == task_phase::waiting && !mismatch.empty()) {
            finish(current, fleet::task_not_run, mismatch, absl::InfinitePast());
        }
    }
}

void worker_ledger::reset_incarnation()
{
    acknowledged_end_ = 0;
    reported_at_ = absl::InfinitePast();
    complete_report_requested_at_ = absl::InfinitePast();
    past_runs_ = past_runs();
    speed_ = worker_speed();
    failures_ = failure_rate();
}

void worker_ledger::begin_incarnation(const worker_report& report, absl::Time requested_at,
                                      absl::Time now)
{
    reset_incarnation();
    worker_.begin_incarnation(report.started_unix_ms);
    return_waiting_tasks("worker_restarted");
    on_report(report, requested_at, now);
}

void worker_ledger::remove_worker(std::string_view id)
{
    if (!worker_.remove(id)) {
        return;
    }
    end_runs("worker_left");
    return_waiting_tasks("worker_left");
}

void worker_ledger::add(session_number session, const fleet::task_order& order, absl::Time now)
{
    run_record record;
    record.session = session;
    record.order = order;
    record.demand = demand_of(order);
    record.received = now;
    record.start_by = now + absl::Milliseconds(order.start_by_ms());
    record.late_start_by = now + absl::Milliseconds(order.late_start_by_ms());
    record.give_up = now + absl::Milliseconds(order.give_up_ms());
    const std::string_view refusal = refusal_of(record, now);
    const auto added = records_.emplace(++last_number_, std::move(record)).first;
    if (!refusal.empty()) {
        finish(added, fleet::task_not_run, refusal, now);
    }
}

std::string_view worker_ledger::start_obstacle(const run_record& record) const
{
    if (!worker()) {
        return "no_worker";
    }
    if (worker()->state != worker_state::ready) {
        return worker()->state == worker_state::draining ? "worker_draining" : "worker_unannounced";
    }
    return mismatch_of(record, *worker());
}

std::string_view worker_ledger::refusal_of(const run_record& record, absl::Time now) const
{
    const std::string_view obstacle = start_obstacle(record);
    if (!obstacle.empty()) {
        return obstacle;
    }
    const absl::Duration longest_wait = absl::Milliseconds(record.order.longest_wait_ms());
    if (longest_wait > absl::ZeroDuration() && wait_of(record, now) > longest_wait) {
        return "queue_longer";
    }
    return "";
}

absl::Duration worker_ledger::wait_of(const run_record& record, absl::Time now) const
{
    const agent_load load{free_room(), waiting_room(now), released_millicores_per_s(now)};
    return expected_wait(worker()->capacity, load, record.demand,
                         queue_rank(record.order.priority(), record.start_by - now));
}

void worker_ledger::request_stop(session_number session, const fleet::task_stop& stop,
                                 absl::Time now)
{
    for (auto record = records_.begin(); record != records_.end(); ++record) {
        const fleet::task_order& order = record->second.order;
        if (record->second.session != session || order.job_id() != stop.job_id() ||
            order.index() != stop.index() || order.attempt() != stop.attempt()) {
            continue;
        }
        if (record->second.phase == task_phase::waiting) {
            finish(record, fleet::task_not_run, "withdrawn", absl::InfinitePast());
        } else {
            begin_stopping(record->second, "stop_requested", now);
        }
        return;
    }
}

void worker_ledger::drop_session(session_number session, absl::Time since)
{
    for (auto record = records_.begin(); record != records_.end();) {
        const auto current = record++;
        if (current->second.session != session) {
            continue;
        }
        if (current->second.phase == task_phase::waiting) {
            records_.erase(current);
        } else {
            current->second.entry_lost = true;
            begin_stopping(current->second, "entry_lost", since);
        }
    }
}

void worker_ledger::return_waiting_tasks(std::string_view reason)
{
    for (auto record = records_.begin(); record != records_.end();) {
        const auto current = record++;
        if (current->second.phase == task_phase::waiting) {
            finish(current, fleet::task_not_run, reason, absl::InfinitePast());
        }
    }
}

void worker_ledger::finish(record_map::iterator record, fleet::task_event_kind kind,
                           std::string_view reason, absl::Time now)
{
    const run_record& task = record->second;
    if (task.run > 0) {
        past_runs_.record(run_of(task), now);
    }
    if (task.session != 0) {
        session_event event;
        event.session = task.session;
        event.event.set_job_id(task.order.job_id());
        event.event.set_index(task.order.index());
        event.event.set_attempt(task.order.attempt());
        event.event.set_kind(kind);
        event.event.set_reason(std::string(reason));
        event.event.set_run_ms(
            static_cast<std::uint32_t>(absl::ToInt64Milliseconds(task.known_run)));
        events_.push_back(std::move(event));
    }
    records_.erase(record);
}

bool worker_ledger::has_run_elsewhere(record_number number, const run_record& record) const
{
    return std::any_of(records_.begin(), records_.end(), [&](const auto& other) {
        return other.first != number && other.second.phase != task_phase::waiting &&
               other.second.order.job_id() == record.order.job_id() &&
               other.second.order.index() == record.order.index();
    });
}

std::uint32_t worker_ledger::next_run(const run_record& record) const
{
    const std::uint32_t past = past_runs_.highest(record.order.job_id(), record.order.index());
    return std::max({record.order.attempt(), past + 1, record.run + 1});
}

std::optional<worker_ledger::record_number>
worker_ledger::begin_next(absl::Time now, const std::function<bool(session_number)>& may_run)
{
    if (!worker() || worker()->state != worker_state::ready) {
        return std::nullopt;
    }
    std::vector<record_number> numbers;
    std::vector<waiting_task> waiting;
    for (const auto& [number, record] : records_) {
        if (record.phase != task_phase::waiting) {
            // Nothing starts beside runs of an earlier agent, because their demand is unknown.
            if (record.session == 0) {
                return std::nullopt;
            }
            continue;
        }
        waiting_task task = waiting_task_of(record);
        task.startable = record.not_before <= now && may_run(record.session) &&
                         !has_run_elsewhere(number, record);
        numbers.push_back(number);
        waiting.push_back(task);
    }
    const std::optional<std::size_t> next = next_task(waiting, free_room(), now);
    if (!next) {
        return std::nullopt;
    }
    run_record& record = records_.at(numbers[*next]);
    record.phase = task_phase::starting;
    record.run = next_run(record);
    record.ordered_at = now;
    return numbers[*next];
}

void worker_ledger::on_start_reply(record_number number, const start_reply& reply, absl::Time now)
{
    const auto found = records_.find(number);
    if (found == records_.end()) {
        return; // a report has already listed its end
    }
    run_record& record = found->second;
    // Load pattern: a worker carries orders out and their answers are lost. A run that a report
    // lists goes on.
    const bool only_answer_lost = reply.outcome == start_outcome::no_answer && record.listed_active;
    switch (only_answer_lost ? start_outcome::started : reply.outcome) {
    case start_outcome::started:
        record.phase = task_phase::running;
        record.answered_at = now;
        if (!record.stop_reason.empty()) {
            begin_stopping(record, std::string(record.stop_reason), record.stop_since);
        }
        return;
    case start_outcome::no_answer:
        record.phase = task_phase::unconfirmed;
        record.unconfirmed_since = now;
        if (complete_report_requested_at_ > record.ordered_at || !record.stop_reason.empty()) {
            stop_unconfirmed(record);
        }
        return;
    case start_outcome::no_room:
    case start_outcome::superseded:
    case start_outcome::lease_over:
    case start_outcome::fenced:
        // The worker may have described itself anew while the order was under way.
        if (!record.stop_reason.empty() || record.give_up <= now ||
            !start_obstacle(record).empty()) {
            break;
        }
        record.phase = task_phase::waiting;
        record.not_before = reply.outcome == start_outcome::no_room ? now + no_room_retry_delay
                                                                    : absl::InfinitePast();
        return;
    case start_outcome::unhealthy:
    case start_outcome::other_incarnation:
    case start_outcome::invalid:
    case start_outcome::not_sent:
        break;
    }
    finish(found, fleet::task_not_run, absl::StrCat("order_", to_absl(name_of(reply.outcome))),
           now);
}

std::optional<worker_ledger::record_number> worker_ledger::begin_stop()
{
    for (auto& [number, record] : records_) {
        if (record.phase == task_phase::stopping && !record.stop_under_way &&
            record.answered_at == absl::InfiniteFuture()) {
            record.stop_under_way = true;
            ++record.stop_tries;
            return number;
        }
    }
    return std::nullopt;
}

void worker_ledger::on_stop_reply(record_number number, bool answered, absl::Time now)
{
    const auto found = records_.find(number);
    if (found == records_.end()) {
        return;
    }
    found->second.stop_under_way = false;
    found->second.answered_at = answered ? now : found->second.answered_at;
}

worker_ledger::record_map::iterator worker_ledger::find_run(const task_run& run)
{
    return std::find_if(records_.begin(), records_.end(), [&](const auto& entry) {
        return entry.second.phase != task_phase::waiting && run_of(entry.second) == run;
    });
}

void worker_ledger::apply_end(const run_end& end, bool exact, absl::Time now)
{
    const auto found = find_run(end.task);
    if (found == records_.end()) {
        past_runs_.record(end.task, now);
        return;
    }
    run_record& record = found->second;
    if (end.kind == run_end_kind::done) {
        record.known_run =
            exact ? std::max(now - record.ordered_at, min_run_time) : absl::ZeroDuration();
    }
    if (end.kind == run_end_kind::done || end.kind == run_end_kind::failed) {
        failures_.record(end.kind == run_end_kind::failed, now);
    }
    if (end.kind == run_end_kind::done && exact) {
        speed_.record(record.known_run, absl::Milliseconds(record.order.expected_run_ms()), now);
    }
    const bool worker_leaves =
        end.kind == run_end_kind::stopped && record.stop_reason == worker_leaves_reason;
    finish(found, event_kind_of(end.kind), worker_leaves ? worker_leaves_reason : name_of(end.kind),
           now);
}

void worker_ledger::stop_unknown_runs(const worker_report& report, absl::Time now)
{
    for (const active_run& active : report.active) {
        if (find_run(active.task) != records_.end()) {
            continue;
        }
        records_.emplace(++last_number_, unknown_run(active.task, now));
    }
}

void worker_ledger::on_report(const worker_report& report, absl::Time requested_at, absl::Time now)
{
    const bool exact = requested_at - std::exchange(reported_at_, now) <= max_report_gap &&
                       now - requested_at <= max_answer_time;
    for (const run_end& end : report.ends) {
        if (end.number > acknowledged_end_) {
            apply_end(end, exact, now);
            acknowledged_end_ = end.number;
        }
    }
    stop_unknown_runs(report, now);
    check_progress(report, now);
    if (!report.complete) {
        return;
    }
    complete_report_requested_at_ = requested_at;
    for (auto record = records_.begin(); record != records_.end();) {
        const auto current = record++;
        run_record& task = current->second;
        if (task.phase == task_phase::unconfirmed && task.unconfirmed_since < requested_at) {
            stop_unconfirmed(task);
            continue;
        }
        const bool answer_precedes_report =
            (task.phase == task_phase::running || task.phase == task_phase::stopping) &&
            task.answered_at < requested_at;
        const bool active =
            std::any_of(report.active.begin(), report.active.end(),
                        [&](const active_run& run) { return run.task == run_of(task); });
        if (answer_precedes_report && !active) {
            const std::string reason = task.stop_reason.empty() ? "run_gone" : task.stop_reason;
            finish(current, fleet::task_ended, reason, now);
        }
    }
    past_runs_.expire(now);
}

void worker_ledger::end_runs(std::string_view reason)
{
    for (auto record = records_.begin(); record != records_.end();) {
        const auto current = record++;
        if (current->second.phase != task_phase::waiting) {
            finish(current, fleet::task_ended, reason, current->second.ordered_at);
        }
    }
}

const run_record* worker_ledger::find(record_number number) const
{
    const auto found = records_.find(number);
    return found == records_.end() ? nullptr : &found->second;
}

resource_amounts worker_ledger::free_room() const
{
    if (!worker()) {
        return {};
    }
    resource_amounts room = worker()->capacity;
    room -= used_room(records_);
    return room;
}

double worker_ledger::released_millicores_per_s(absl::Time now) const
{
    return expected_release(records_) / std::max(slowness(now), min_slowness);
}

bool worker_ledger::has_past_runs() const
{
    return std::any_of(records_.begin(), records_.end(), [](const auto& entry) {
        return entry.second.session == 0 || entry.second.entry_lost;
    });
}

const run_record* worker_ledger::overdue_stop(absl::Time now) const
{
    const auto overdue = std::find_if(records_.begin(), records_.end(), [now](const auto& entry) {
        return entry.second.phase != task_phase::waiting &&
               now - entry.second.stop_since > stop_grace;
    });
    return overdue == records_.end() ? nullptr : &overdue->second;
}

} // namespace carobfall
