#include "carobfall/jobs/run_record.h"

#include <algorithm>
#include <utility>

namespace carobfall {
namespace {

constexpr double milliseconds_per_second = 1000;
constexpr double percent = 100;
// Progress is reported in whole percent, and within a shorter time or share of the run it is mostly
// the rounding.
constexpr absl::Duration min_pace_time = absl::Milliseconds(40);
constexpr double min_pace_share = 0.1;

} // namespace

task_run run_of(const run_record& record)
{
    return {record.order.job_id(), record.order.index(), record.run};
}

resource_amounts demand_of(const fleet::task_order& order)
{
    return {order.cpu_millicores(), order.memory_mib(), order.accelerators()};
}

void begin_stopping(run_record& record, std::string_view reason, absl::Time since)
{
    record.stop_since = std::min(record.stop_since, since);
    if (record.phase == task_phase::stopping) {
        return;
    }
    // While the start is under way, only the reason is set. `worker_ledger::on_start_reply` stops
    // the run after the answer.
    record.stop_reason = reason;
    if (record.phase == task_phase::running || record.phase == task_phase::unconfirmed) {
        record.phase = task_phase::stopping;
        record.answered_at = absl::InfiniteFuture();
    }
}

void stop_unconfirmed(run_record& record)
{
    const std::string reason = record.stop_reason.empty() ? "order_unanswered" : record.stop_reason;
    begin_stopping(record, reason, record.stop_since);
}

std::string_view mismatch_of(const run_record& record, const worker_announcement& worker)
{
    if (worker.service != record.order.service()) {
        return "other_service";
    }
    // The entry may have placed the task before it heard of another kind of worker.
    const std::string& label = record.order.required_label();
    const bool has_label =
        std::find(worker.labels.begin(), worker.labels.end(), label) != worker.labels.end();
    if (!label.empty() && !has_label) {
        return "label_missing";
    }
    return record.demand.fits_into(worker.capacity) ? "" : "worker_too_small";
}

fleet::task_event_kind event_kind_of(run_end_kind kind)
{
    switch (kind) {
    case run_end_kind::done:
        return fleet::task_done;
    case run_end_kind::failed:
        return fleet::task_failed;
    default:
        return fleet::task_ended;
    }
}

run_record unknown_run(const task_run& run, absl::Time now)
{
    run_record record;
    record.order.set_job_id(run.job_id);
    record.order.set_index(run.index);
    record.run = run.run;
    record.phase = task_phase::stopping;
    record.stop_reason = "unknown_run";
    record.stop_since = now;
    return record;
}

std::optional<double> take_pace(run_record& record, int percent_done, absl::Time now)
{
    const absl::Duration passed = now - record.paced_at;
    const absl::Duration expected = absl::Milliseconds(record.order.expected_run_ms());
    const bool measured = record.paced_at != absl::InfinitePast();
    if (measured && passed < std::max(min_pace_time, min_pace_share * expected)) {
        return std::nullopt;
    }
    const double done =
        (percent_done - std::exchange(record.paced_percent, percent_done)) / percent;
    record.paced_at = now;
    if (!measured || expected <= absl::ZeroDuration()) {
        return std::nullopt;
    }
    return absl::FDivDuration(passed, expected) / std::max(done, 1 / percent);
}

waiting_task waiting_task_of(const run_record& record)
{
    return {record.order.priority(), record.start_by, record.received, record.demand};
}

resource_amounts used_room(const run_record_map& records)
{
    resource_amounts used;
    for (const auto& [number, record] : records) {
        if (record.phase != task_phase::waiting) {
            used += record.demand;
        }
    }
    return used;
}

waiting_profile waiting_room_of(const run_record_map& records, absl::Time now)
{
    waiting_profile profile;
    for (const auto& [number, record] : records) {
        if (record.phase == task_phase::waiting) {
            profile.add(queue_rank(record.order.priority(), record.start_by - now),
                        record.demand.cpu_millicores);
        }
    }
    return profile;
}

double expected_release(const run_record_map& records)
{
    double sum = 0;
    for (const auto& [number, record] : records) {
        if (record.phase != task_phase::waiting && record.order.expected_run_ms() > 0) {
            sum += static_cast<double>(record.demand.cpu_millicores) * milliseconds_per_second /
                   record.order.expected_run_ms();
        }
    }
    return sum;
}

} // namespace carobfall
