#include "carobfall/jobs/queue_return.h"

#include "carobfall/jobs/job_timing.h"
#include "carobfall/jobs/run_queue.h"
#include "carobfall/jobs/task_placement.h"
#include "carobfall/jobs/waiting_profile.h"
#include "carobfall/jobs/worker_speed.h"

#include <algorithm>
#include <utility>

namespace carobfall {
namespace {

// A returned task travels to its entry and to another agent, and runs end there every 10 to 20 ms
// on a full worker.
constexpr absl::Duration move_cost = absl::Milliseconds(20);

bool exceeds_limit(const run_record& record, absl::Time now)
{
    const absl::Duration limit = absl::Milliseconds(record.order.longest_wait_ms());
    return record.phase == task_phase::waiting && limit > absl::ZeroDuration() &&
           now - record.received > limit;
}

} // namespace

bool should_return(const waiting_time& time, absl::Time now)
{
    if (time.longest_wait <= absl::ZeroDuration() || time.waited <= time.longest_wait ||
        time.remaining <= time.longest_wait + move_cost) {
        return false;
    }
    const absl::Time start_elsewhere = now + move_cost;
    return start_elsewhere < time.late_start_by &&
           can_still_end(time.expected_run, start_elsewhere, time.give_up);
}

double present_release(const run_record_map& records, double slowness, absl::Time now)
{
    double sum = 0;
    for (const auto& [number, record] : records) {
        const absl::Duration expected = absl::Milliseconds(record.order.expected_run_ms());
        if (record.phase == task_phase::waiting || expected <= absl::ZeroDuration()) {
            continue;
        }
        const absl::Duration run = std::max({expected * std::max(slowness, min_slowness),
                                             record.predicted_run, now - record.ordered_at});
        sum += static_cast<double>(record.demand.cpu_millicores) / absl::ToDoubleSeconds(run);
    }
    return sum;
}

std::vector<overlong_wait> find_overlong_waits(const run_record_map& records,
                                               const resource_amounts& capacity, double slowness,
                                               absl::Time now)
{
    const bool any = std::any_of(records.begin(), records.end(), [now](const auto& entry) {
        return exceeds_limit(entry.second, now);
    });
    if (!any) {
        return {};
    }
    std::vector<std::pair<std::uint64_t, waiting_task>> queue;
    for (const auto& [number, record] : records) {
        if (record.phase == task_phase::waiting) {
            queue.emplace_back(number, waiting_task_of(record));
        }
    }
    std::stable_sort(queue.begin(), queue.end(), [now](const auto& left, const auto& right) {
        return precedes(left.second, right.second, now);
    });
    agent_load ahead;
    ahead.released_millicores_per_s = present_release(records, slowness, now);
    resource_amounts free = capacity;
    free -= used_room(records);
    std::vector<overlong_wait> overlong;
    for (const auto& [number, task] : queue) {
        const run_record& record = records.at(number);
        // A worker that has refused the start for lack of room has less room than the agent knows.
        ahead.free = record.not_before > absl::InfinitePast() ? resource_amounts{} : free;
        const absl::Duration rank = queue_rank(task.priority, task.start_by - now);
        const waiting_time time{now - record.received,
                                expected_wait(capacity, ahead, record.demand, rank),
                                absl::Milliseconds(record.order.longest_wait_ms()),
                                absl::Milliseconds(record.order.expected_run_ms()),
                                record.late_start_by,
                                record.give_up};
        if (should_return(time, now)) {
            overlong.push_back({number, time.waited, time.remaining});
        } else {
            ahead.waiting.add(rank, record.demand.cpu_millicores);
        }
    }
    return overlong;
}

} // namespace carobfall
