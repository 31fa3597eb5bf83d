#include "carobfall/jobs/task_order.h"

#include "carobfall/jobs/run_queue.h"

#include <algorithm>

namespace carobfall {
namespace {

// Number of orders per task that agents may return when the queue is longer than expected. Each
// returned order costs a round trip between machines.
constexpr std::uint32_t returnable_orders = 3;
// Later orders up to this one are returned only if the wait takes up much of the time that is left.
// A task whose last order can't be returned is lost with its job if the worker becomes slow.
constexpr std::uint32_t last_returnable_order = 6;
constexpr double later_wait_share = 0.2;
// A wait may exceed the worthwhile one by this time. On a full worker a run ends every 10 to 20 ms;
// a shorter wait does not justify a round trip.
constexpr absl::Duration wait_tolerance = absl::Milliseconds(10);

} // namespace

task_time make_task_time(const job_request& request, const job_timing& timing,
                         absl::Duration expected_run, absl::Time now)
{
    const absl::Duration slack = timing.start_by - now;
    return {expected_run, slack, queue_rank(request.priority, slack)};
}

fleet::task_order make_task_order(const job_request& request, const job_timing& timing,
                                  absl::Duration expected_run, std::uint32_t index,
                                  std::uint32_t attempt, absl::Duration worthwhile_wait,
                                  absl::Time now)
{
    const auto from_now = [now](absl::Time time) {
        return static_cast<std::int32_t>(absl::ToInt64Milliseconds(time - now));
    };
    fleet::task_order order;
    order.set_job_id(request.id);
    order.set_index(index);
    order.set_attempt(attempt);
    order.set_spec(request.spec);
    order.set_cpu_millicores(static_cast<std::uint32_t>(request.demand.cpu_millicores));
    order.set_memory_mib(static_cast<std::uint32_t>(request.demand.memory_mib));
    order.set_accelerators(static_cast<std::uint32_t>(request.demand.accelerators));
    order.set_priority(request.priority);
    order.set_service(request.service);
    order.set_required_label(request.required_label);
    order.set_expected_run_ms(static_cast<std::uint32_t>(absl::ToInt64Milliseconds(expected_run)));
    order.set_start_by_ms(from_now(timing.start_by));
    order.set_late_start_by_ms(from_now(timing.late_start_by));
    order.set_give_up_ms(from_now(timing.give_up));
    absl::Duration longest_wait = worthwhile_wait + wait_tolerance;
    if (attempt > returnable_orders) {
        longest_wait = std::max(longest_wait, later_wait_share * (timing.late_start_by - now));
    }
    if (attempt <= last_returnable_order) {
        order.set_longest_wait_ms(
            static_cast<std::uint32_t>(absl::ToInt64Milliseconds(longest_wait)));
    }
    return order;
}

} // namespace carobfall
