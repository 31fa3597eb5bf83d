#include "carobfall/jobs/run_queue.h"

#include <tuple>

namespace carobfall {
namespace {

// Time by which tasks of one priority go before equally urgent ones of the next.
constexpr absl::Duration priority_head_start = absl::Milliseconds(100);

bool goes_before(const waiting_task& left, const waiting_task& right, absl::Time now)
{
    const bool left_late = left.start_by < now;
    const bool right_late = right.start_by < now;
    if (left_late != right_late) {
        return right_late;
    }
    if (left_late) {
        return std::tie(left.priority, left.received) < std::tie(right.priority, right.received);
    }
    return left.start_by + left.priority * priority_head_start <
           right.start_by + right.priority * priority_head_start;
}

} // namespace

std::optional<std::size_t> next_task(std::span<const waiting_task> waiting,
                                     const resource_amounts& room, absl::Time now)
{
    std::optional<std::size_t> first;
    for (std::size_t i = 0; i < waiting.size(); ++i) {
        if (waiting[i].startable && waiting[i].demand.fits_into(room) &&
            (!first || goes_before(waiting[i], waiting[*first], now))) {
            first = i;
        }
    }
    return first;
}

} // namespace carobfall
