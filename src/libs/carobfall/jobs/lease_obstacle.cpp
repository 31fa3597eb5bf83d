#include "carobfall/jobs/lease_obstacle.h"

#include <array>
#include <cstddef>

namespace carobfall {

std::string_view name_of(lease_obstacle obstacle)
{
    constexpr std::array<std::string_view, 5> names = {"none", "runs_unknown", "worker_leaving",
                                                       "worker_silent", "stop_overdue"};
    return names.at(static_cast<std::size_t>(obstacle));
}

} // namespace carobfall
