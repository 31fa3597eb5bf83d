#include "carobfall/jobs/run_queue.h"

#include <tuple>

namespace carobfall {
namespace {

// A task of the next lower priority has the same rank if its latest start is earlier by this time.
// So a higher priority outweighs small differences in urgency.
constexpr absl::Duration priority_step = absl::Milliseconds(100);

} // namespace

absl::Duration queue_rank(std::uint32_t priority, absl::Duration until_start_by)
{
    if (until_start_by < absl::ZeroDuration()) {
        return absl::InfiniteDuration();
    }
    return until_start_by + priority * priority_step;
}

bool precedes(const waiting_task& left, const waiting_task& right, absl::Time now)
{
    const absl::Duration left_rank = queue_rank(left.priority, left.start_by - now);
    const absl::Duration right_rank = queue_rank(right.priority, right.start_by - now);
    return std::tie(left_rank, left.priority, left.received) <
           std::tie(right_rank, right.priority, right.received);
}

std::optional<std::size_t> next_task(std::span<const waiting_task> waiting,
                                     const resource_amounts& room, absl::Time now)
{
    std::optional<std::size_t> next;
    for (std::size_t i = 0; i < waiting.size(); ++i) {
        if (waiting[i].startable && waiting[i].demand.fits_into(room) &&
            (!next || precedes(waiting[i], waiting[*next], now))) {
            next = i;
        }
    }
    return next;
}

} // namespace carobfall
