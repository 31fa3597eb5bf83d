#include "carobfall/agent/task_ledger.h"

#include "carobfall/base/clock.h"

#include <algorithm>
#include <utility>

namespace carobfall {
namespace {

/// Weight of the latest run in the moving average of run times.
constexpr double mean_run_weight = 0.1;

task_key key_of(const rpc::submission_key& submission, std::uint32_t index)
{
    return {from_message(submission), index};
}

std::shared_ptr<const start_context> context_of(const rpc::start_request& request)
{
    auto context = std::make_shared<start_context>();
    context->deadline_unix_ms = request.deadline_unix_ms();
    context->request_path = request.request_path();
    context->parameters_json = request.parameters_json();
    context->coordinator = request.coordinator();
    return context;
}

} // namespace

task_ledger::task_ledger(ledger_options options, const start_lease& lease)
    : options_(std::move(options)), lease_(lease), records_(options_.max_result_bytes)
{}

/// Returns the latest time seen so far. Callers read the clock before they wait for the lock, and
/// may be paused in between, so that times arrive out of order.
absl::Time task_ledger::advance(absl::Time now)
{
    latest_time_ = std::max(latest_time_, now);
    return latest_time_;
}

rpc::start_reply task_ledger::start(const rpc::start_request& request, absl::Time now)
{
    const context_ptr context = context_of(request);
    rpc::start_reply reply;
    const std::lock_guard lock(mutex_);
    now = advance(now);
    const bool is_addressed_here = request.agent_incarnation() == options_.agent_incarnation;
    if (is_addressed_here) {
        view_number_ = std::max(view_number_, request.view_number());
    }
    for (const rpc::start_task& task : request.tasks()) {
        *reply.add_tasks() = is_addressed_here ? decide(request, task, context, now)
                                               : status_without_record(task.index(), task.attempt(),
                                                                       rpc::task_state_refused,
                                                                       rpc::refusal_stale_view);
    }
    reply.set_view_number(view_number_);
    *reply.mutable_load() = load_locked();
    return reply;
}

rpc::task_status task_ledger::decide(const rpc::start_request& request, const rpc::start_task& task,
                                     const context_ptr& context, absl::Time now)
{
    const task_key key = key_of(request.submission(), task.index());
    task_record* record = records_.find(key);
    const bool is_new =
        record == nullptr || (record->is_tombstone() && record->attempt < task.attempt());
    if (!is_new) {
        // After a takeover, reports go to the entry that sent the latest request.
        if (record->context && request.view_number() == view_number_) {
            auto updated = std::make_shared<start_context>(*record->context);
            updated->coordinator = request.coordinator();
            record->context = std::move(updated);
        }
        return record->status(task.index());
    }
    rpc::refusal_reason refusal = admission_refusal(request, now);
    if (record == nullptr && records_.size() >= options_.max_records) {
        refusal = rpc::refusal_ledger_full;
        if (records_.size() >= 2 * options_.max_records) {
            return status_without_record(task.index(), task.attempt(), rpc::task_state_unknown,
                                         refusal);
        }
    }
    task_record& stored = records_.find_or_create(key, request.deadline_unix_ms());
    if (refusal == rpc::refusal_none) {
        enqueue(key, stored, task, context);
    } else {
        stored.make_tombstone(task.attempt(), rpc::task_state_refused, refusal);
    }
    return stored.status(task.index());
}

rpc::refusal_reason task_ledger::admission_refusal(const rpc::start_request& request,
                                                   absl::Time now) const
{
    if (request.view_number() < view_number_) {
        return rpc::refusal_stale_view;
    }
    if (from_unix_ms(request.deadline_unix_ms()) <= now) {
        return rpc::refusal_deadline;
    }
    const rpc::refusal_reason refusal = agent_refusal(now);
    if (refusal != rpc::refusal_none) {
        return refusal;
    }
    if (!lease_.is_valid(now)) {
        return rpc::refusal_no_lease;
    }
    if (queued_ + running_ >= slots_ + queue_bound()) {
        return rpc::refusal_queue_full;
    }
    return can_meet_deadline(request.deadline_unix_ms(), now) ? rpc::refusal_none
                                                              : rpc::refusal_deadline;
}

/// Reason to refuse every task of the agent, including the queued ones. An expired lease or a full
/// queue is no such reason, since these conditions are short-lived.
rpc::refusal_reason task_ledger::agent_refusal(absl::Time now) const
{
    if (leaving_) {
        return rpc::refusal_leaving;
    }
    if (slots_ == 0 || now >= backend_valid_until_) {
        return rpc::refusal_backend_unavailable;
    }
    return lease_.is_out(options_.data_centre) ? rpc::refusal_data_centre_out : rpc::refusal_none;
}

rpc::refusal_reason task_ledger::queued_task_refusal(const task_record& record,
                                                     absl::Time now) const
{
    if (from_unix_ms(record.context->deadline_unix_ms) <= now) {
        return rpc::refusal_deadline;
    }
    return agent_refusal(now);
}

/// Without a free slot, the estimated wait and one run have to end by the deadline. With a free
/// slot the task is accepted in any case, because declared sizes and past run times are often
/// wrong.
bool task_ledger::can_meet_deadline(std::int64_t deadline_unix_ms, absl::Time now) const
{
    const std::uint32_t ahead = queued_ + running_;
    if (ahead < slots_) {
        return true;
    }
    const double rounds = static_cast<double>(ahead - slots_ + 1) / slots_;
    return now + mean_run_ * (rounds + 1.0) <= from_unix_ms(deadline_unix_ms);
}

std::size_t task_ledger::queue_bound() const
{
    return static_cast<std::size_t>(options_.queue_per_slot * slots_);
}

void task_ledger::enqueue(const task_key& key, task_record& record, const rpc::start_task& task,
                          const context_ptr& context)
{
    record.attempt = task.attempt();
    record.state = rpc::task_state_queued;
    record.reason = rpc::refusal_none;
    record.context = context;
    record.payload = task.payload();
    queue_.push_back({key, task.attempt()});
    ++queued_;
    ++accepted_;
}

rpc::revoke_reply task_ledger::revoke(const rpc::revoke_request& request, absl::Time now)
{
    rpc::revoke_reply reply;
    const std::lock_guard lock(mutex_);
    now = advance(now);
    const bool is_addressed_here = request.agent_incarnation() == options_.agent_incarnation;
    if (is_addressed_here) {
        view_number_ = std::max(view_number_, request.view_number());
    }
    for (const rpc::task_attempt& task : request.tasks()) {
        *reply.add_tasks() = is_addressed_here ? revoke_task(request, task, now)
                                               : status_without_record(task.index(), task.attempt(),
                                                                       rpc::task_state_unknown,
                                                                       rpc::refusal_stale_view);
    }
    reply.set_view_number(view_number_);
    return reply;
}

rpc::task_status task_ledger::revoke_task(const rpc::revoke_request& request,
                                          const rpc::task_attempt& task, absl::Time now)
{
    const task_key key = key_of(request.submission(), task.index());
    task_record* record = records_.find(key);
    const bool stale = request.view_number() < view_number_;
    // A coordinator that was paused may send this revoke after the record has expired.
    if (record == nullptr && records_.has_expired(request.deadline_unix_ms(), now)) {
        return status_without_record(task.index(), task.attempt(), rpc::task_state_unknown,
                                     rpc::refusal_deadline);
    }
    if (record == nullptr && (stale || records_.size() >= 2 * options_.max_records)) {
        return status_without_record(task.index(), task.attempt(), rpc::task_state_unknown,
                                     stale ? rpc::refusal_stale_view : rpc::refusal_ledger_full);
    }
    if (record != nullptr && (stale || record->has_started() || record->attempt > task.attempt() ||
                              (record->is_tombstone() && record->attempt == task.attempt()))) {
        return record->status(task.index());
    }
    task_record& stored = records_.find_or_create(key, request.deadline_unix_ms());
    if (stored.state == rpc::task_state_queued) {
        --queued_;
    }
    stored.make_tombstone(task.attempt(), rpc::task_state_revoked, rpc::refusal_none);
    return stored.status(task.index());
}

rpc::fence_reply task_ledger::fence(const rpc::fence_request& request)
{
    rpc::fence_reply reply;
    reply.set_incarnation(options_.agent_incarnation);
    {
        const std::lock_guard lock(mutex_);
        view_number_ = std::max(view_number_, request.view().number());
        reply.set_view_number(view_number_);
    }
    if (request.with_records()) {
        // Records added after the fence belong to the new view, whose coordinator requested them.
        for (ledger_dump_entry& entry : dump()) {
            *reply.add_records() = std::move(entry.summary);
        }
    }
    return reply;
}

void task_ledger::raise_view_number(std::uint64_t number)
{
    const std::lock_guard lock(mutex_);
    view_number_ = std::max(view_number_, number);
}

std::optional<startable_task> task_ledger::take_startable(absl::Time now)
{
    const std::lock_guard lock(mutex_);
    now = advance(now);
    while (!queue_.empty()) {
        const queue_entry entry = queue_.front();
        task_record* record = queued_record(entry);
        if (record == nullptr) {
            queue_.pop_front();
            continue;
        }
        const rpc::refusal_reason refusal = queued_task_refusal(*record, now);
        if (refusal != rpc::refusal_none) {
            queue_.pop_front();
            refuse_queued(entry.key, *record, refusal);
            continue;
        }
        if (running_ >= slots_ || !lease_.is_valid(now)) {
            return std::nullopt;
        }
        queue_.pop_front();
        record->state = rpc::task_state_started;
        record->started_at = now;
        --queued_;
        ++running_;
        return startable_task{entry.key, entry.attempt, record->context,
                              std::exchange(record->payload, {})};
    }
    return std::nullopt;
}

bool task_ledger::confirm_start(const startable_task& task, absl::Time now)
{
    const std::lock_guard lock(mutex_);
    now = advance(now);
    task_record* record = started_record(task.key, task.attempt);
    if (record == nullptr) {
        return false;
    }
    const rpc::refusal_reason refusal = queued_task_refusal(*record, now);
    if (refusal == rpc::refusal_none && lease_.is_valid(now)) {
        return true;
    }
    --running_;
    ++queued_;
    record->state = rpc::task_state_queued;
    if (refusal != rpc::refusal_none) {
        refuse_queued(task.key, *record, refusal);
        return false;
    }
    record->payload = task.payload;
    queue_.push_front({task.key, task.attempt});
    return false;
}

std::optional<pending_report> task_ledger::finish(const task_key& key, std::uint32_t attempt,
                                                  rpc::task_result result, absl::Time now)
{
    const std::lock_guard lock(mutex_);
    now = advance(now);
    task_record* record = started_record(key, attempt);
    if (record == nullptr) {
        return std::nullopt;
    }
    --running_;
    const absl::Duration run = now - record->started_at;
    mean_run_ = mean_run_ == absl::ZeroDuration()
                    ? run
                    : mean_run_ * (1.0 - mean_run_weight) + run * mean_run_weight;
    pending_report report = report_for(key, *record);
    record->state = rpc::task_state_finished;
    record->context.reset();
    records_.store_result(key, *record, std::move(result));
    return report;
}

std::optional<pending_report> task_ledger::refuse_unsent(const task_key& key, std::uint32_t attempt,
                                                         rpc::refusal_reason reason, absl::Time now)
{
    const std::lock_guard lock(mutex_);
    advance(now);
    task_record* record = started_record(key, attempt);
    if (record == nullptr) {
        return std::nullopt;
    }
    --running_;
    pending_report report = report_for(key, *record);
    record->make_tombstone(attempt, rpc::task_state_refused, reason);
    return report;
}

std::vector<pending_report> task_ledger::sweep(absl::Time now)
{
    const std::lock_guard lock(mutex_);
    sweep_queue(advance(now));
    return std::exchange(refused_from_queue_, {});
}

void task_ledger::sweep_queue(absl::Time now)
{
    std::deque<queue_entry> remaining;
    for (queue_entry& entry : queue_) {
        task_record* record = queued_record(entry);
        if (record == nullptr) {
            continue;
        }
        const rpc::refusal_reason refusal = queued_task_refusal(*record, now);
        if (refusal == rpc::refusal_none) {
            remaining.push_back(std::move(entry));
        } else {
            refuse_queued(entry.key, *record, refusal);
        }
    }
    queue_ = std::move(remaining);
}

void task_ledger::refuse_queued(const task_key& key, task_record& record,
                                rpc::refusal_reason reason)
{
    --queued_;
    refused_from_queue_.push_back(report_for(key, record));
    record.make_tombstone(record.attempt, rpc::task_state_refused, reason);
}

task_record* task_ledger::queued_record(const queue_entry& entry)
{
    task_record* record = records_.find(entry.key);
    const bool current = record != nullptr && record->state == rpc::task_state_queued &&
                         record->attempt == entry.attempt;
    return current ? record : nullptr;
}

task_record* task_ledger::started_record(const task_key& key, std::uint32_t attempt)
{
    task_record* record = records_.find(key);
    const bool current =
        record != nullptr && record->state == rpc::task_state_started && record->attempt == attempt;
    return current ? record : nullptr;
}

pending_report task_ledger::report_for(const task_key& key, const task_record& record) const
{
    return {key, record.attempt, record.context->coordinator, records_.expiry_of(key.submission)};
}

void task_ledger::announce_backend(std::uint32_t slots, absl::Time valid_until)
{
    const std::lock_guard lock(mutex_);
    slots_ = slots;
    backend_valid_until_ = valid_until;
}

void task_ledger::remove_backend()
{
    const std::lock_guard lock(mutex_);
    backend_valid_until_ = absl::InfinitePast();
}

bool task_ledger::backend_available(absl::Time now) const
{
    const std::lock_guard lock(mutex_);
    return slots_ != 0 && now < backend_valid_until_;
}

void task_ledger::begin_leaving()
{
    const std::lock_guard lock(mutex_);
    leaving_ = true;
}

bool task_ledger::leaving() const
{
    const std::lock_guard lock(mutex_);
    return leaving_;
}

std::size_t task_ledger::expire(absl::Time now)
{
    const std::lock_guard lock(mutex_);
    now = advance(now);
    // A queued task has to leave the queue before its record is removed.
    sweep_queue(now);
    return records_.expire(now);
}

rpc::agent_load task_ledger::load() const
{
    const std::lock_guard lock(mutex_);
    return load_locked();
}

rpc::agent_load task_ledger::load_locked() const
{
    rpc::agent_load load;
    load.set_running(running_);
    load.set_queued(queued_);
    load.set_free_slots(slots_ > running_ ? slots_ - running_ : 0);
    return load;
}

std::uint64_t task_ledger::view_number() const
{
    const std::lock_guard lock(mutex_);
    return view_number_;
}

std::optional<rpc::task_report> task_ledger::report_of(const task_key& key,
                                                       std::uint32_t attempt) const
{
    const std::lock_guard lock(mutex_);
    const task_record* record = records_.find(key);
    if (record == nullptr || record->attempt != attempt) {
        return std::nullopt;
    }
    rpc::task_report report;
    *report.mutable_submission() = to_message(key.submission);
    *report.mutable_status() = record->status(key.index);
    return report;
}

ledger_statistics task_ledger::statistics() const
{
    const std::lock_guard lock(mutex_);
    return {.load = load_locked(),
            .view_number = view_number_,
            .records = records_.size(),
            .result_bytes = records_.result_bytes(),
            .results_dropped = records_.results_dropped(),
            .accepted = accepted_,
            .slots = slots_,
            .backend_valid_until = backend_valid_until_,
            .mean_run = mean_run_,
            .leaving = leaving_};
}

std::vector<ledger_dump_entry> task_ledger::dump() const
{
    const std::lock_guard lock(mutex_);
    std::vector<ledger_dump_entry> entries;
    entries.reserve(records_.size());
    for (const auto& [submission, records] : records_.submissions()) {
        for (const auto& [index, record] : records.tasks) {
            ledger_dump_entry& entry = entries.emplace_back();
            *entry.summary.mutable_submission() = to_message(submission);
            entry.summary.set_index(index);
            entry.summary.set_attempt(record->attempt);
            entry.summary.set_state(record->state);
            entry.summary.set_deadline_unix_ms(records.deadline_unix_ms);
            entry.reason = record->reason;
            entry.result_bytes = record->result ? record->result->ByteSizeLong() : 0;
        }
    }
    return entries;
}

} // namespace carobfall
