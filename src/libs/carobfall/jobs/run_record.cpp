#include "carobfall/jobs/run_record.h"

#include <algorithm>

namespace carobfall {

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
    // While the start is unanswered, only the reason is set. `worker_ledger::on_start_reply` stops
    // the run after the answer.
    record.stop_reason = reason;
    if (record.phase == task_phase::running) {
        record.phase = task_phase::stopping;
        record.answered_at = absl::InfiniteFuture();
    }
}

} // namespace carobfall
