#include "carobfall/jobs/lease_obstacle.h"

#include <array>
#include <cstddef>

namespace carobfall {

lease_obstacle find_lease_obstacle(const lease_conditions& conditions)
{
    if (!conditions.runs_known) {
        return lease_obstacle::runs_unknown;
    }
    if (conditions.worker_leaving) {
        return lease_obstacle::worker_leaving;
    }
    if (!conditions.recently_answered) {
        return lease_obstacle::worker_silent;
    }
    return conditions.stop_overdue ? lease_obstacle::stop_overdue : lease_obstacle::none;
}

std::string_view name_of(lease_obstacle obstacle)
{
    constexpr std::array<std::string_view, 5> names = {"none", "runs_unknown", "worker_leaving",
                                                       "worker_silent", "stop_overdue"};
    return names.at(static_cast<std::size_t>(obstacle));
}

} // namespace carobfall
