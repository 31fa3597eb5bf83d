#include "carobfall/jobs/job_timing.h"
#include "carobfall/jobs/queue_return.h"
#include "carobfall/jobs/run_bounds.h"
#include "carobfall/jobs/run_progress.h"
#include "carobfall/jobs/short_notice.h"
#include "carobfall/jobs/worker_ledger.h"

// The checks that end a task or a run before its usual end.

namespace carobfall {
namespace {

// Time for a report that lists a run whose start got no answer. The worker delays reports by at
// most `renewal_wait`.
constexpr absl::Duration start_confirmation_time = absl::Milliseconds(renewal_wait_ms + 20);

} // namespace

void worker_ledger::expire(absl::Time now)
{
    for (auto record = records_.begin(); record != records_.end();) {
        const auto current = record++;
        const absl::Duration expected = absl::Milliseconds(current->second.order.expected_run_ms());
        if (current->second.phase == task_phase::unconfirmed &&
            now - current->second.unconfirmed_since > start_confirmation_time) {
            stop_unconfirmed(current->second);
        }
        if (current->second.phase == task_phase::waiting &&
            (current->second.late_start_by <= now ||
             !can_still_end(expected, now, current->second.give_up))) {
            finish(current, fleet::task_not_run, "time_over", now);
        }
    }
    return_overlong_waits(now);
}

void worker_ledger::return_overlong_waits(absl::Time now)
{
    if (!worker()) {
        return;
    }
    for (const overlong_wait& wait :
         find_overlong_waits(records_, worker()->capacity, slowness(now), now)) {
        const auto record = records_.find(wait.number);
        decisions_.push_back(
            {"waited_too_long", run_of(record->second), wait.waited, wait.remaining,
             absl::Milliseconds(record->second.order.longest_wait_ms()), now - reported_at_});
        finish(record, fleet::task_not_run, "waited_too_long", now);
    }
}

void worker_ledger::check_progress(const worker_report& report, absl::Time now)
{
    std::vector<double> paces;
    for (const active_run& active : report.active) {
        const auto found = find_run(active.task);
        if (found == records_.end()) {
            continue;
        }
        run_record& record = found->second;
        record.listed_active = true;
        if (record.phase == task_phase::unconfirmed) {
            record.phase = task_phase::running;
            record.answered_at = now;
        }
        if (record.phase != task_phase::running) {
            continue;
        }
        if (const auto pace = take_pace(record, active.percent_done, now)) {
            paces.push_back(*pace);
        }
        const absl::Duration expected = absl::Milliseconds(record.order.expected_run_ms());
        const run_progress progress{record.ordered_at, expected, record.give_up,
                                    active.percent_done};
        record.predicted_run = predicted_run(progress, now).value_or(absl::ZeroDuration());
        if (ends_too_late(progress, now)) {
            record.known_run = record.predicted_run;
            speed_.record(record.known_run, expected, now);
            begin_stopping(record, "too_late", absl::InfiniteFuture());
        } else if (worker_leaves_first(progress, slowness(now), worker_.serves_until(), now)) {
            decisions_.push_back({worker_leaves_reason, active.task, now - record.ordered_at,
                                  record.ordered_at + record.predicted_run - now,
                                  worker_.serves_until() - now, absl::ZeroDuration()});
            begin_stopping(record, worker_leaves_reason, absl::InfiniteFuture());
        }
    }
    speed_.record_pace(std::move(paces), now);
}

} // namespace carobfall
