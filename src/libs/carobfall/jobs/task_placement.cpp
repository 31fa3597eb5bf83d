#include "carobfall/jobs/task_placement.h"

#include "carobfall/jobs/placement_candidate.h"

#include <algorithm>
#include <optional>

namespace carobfall {
namespace {

// Runs last about a second at most, so that a worker releases at least all of its room in this
// time.
constexpr double max_usual_run_s = 1;
// Lower bound of the wait if the task does not fit now. A task that only lacks memory may ask for
// hardly any processor time, but still waits for a run to end.
constexpr absl::Duration min_wait = absl::Milliseconds(1);

} // namespace

absl::Duration expected_wait(const resource_amounts& capacity, const agent_load& load,
                             const resource_amounts& demand, absl::Duration rank)
{
    const std::int64_t before = load.waiting.millicores_before(rank);
    const bool fits = demand.fits_into(load.free);
    if (fits && before + demand.cpu_millicores <= load.free.cpu_millicores) {
        return absl::ZeroDuration();
    }
    // If the free room is too small for this task, it is not used by the tasks ahead either.
    const std::int64_t missing =
        before + demand.cpu_millicores - (fits ? load.free.cpu_millicores : 0);
    const double released =
        std::max(load.released_millicores_per_s,
                 static_cast<double>(capacity.cpu_millicores) / max_usual_run_s);
    return std::max(absl::Seconds(static_cast<double>(missing) / std::max(released, 1.0)),
                    min_wait);
}

void count_order(agent_load& load, const resource_amounts& demand, const task_time& time)
{
    if (load.waiting.millicores_before(time.rank) > 0 || !demand.fits_into(load.free)) {
        load.waiting.add(time.rank, demand.cpu_millicores);
        return;
    }
    load.free -= demand;
    if (time.expected_run > absl::ZeroDuration()) {
        load.released_millicores_per_s +=
            static_cast<double>(demand.cpu_millicores) / absl::ToDoubleSeconds(time.expected_run);
    }
}

job_placement place_tasks(std::span<const agent_view> agents, const job_request& request,
                          const task_time& time, std::size_t count, placement_limits limits,
                          const std::function<double()>& random)
{
    limits.tasks_of_job.resize(agents.size());
    limits.avoided.resize(agents.size());
    std::vector<agent_load> loads;
    loads.reserve(agents.size());
    for (const agent_view& agent : agents) {
        loads.push_back(agent.load);
    }
    job_placement placement;
    while (placement.agents.size() < count) {
        std::optional<placement_candidate> best;
        std::size_t position = 0;
        for (std::size_t i = 0; i < agents.size(); ++i) {
            if (find_obstacle(agents[i], request, limits.tasks_of_job[i]) !=
                placement_obstacle::none) {
                continue;
            }
            const placement_candidate next =
                evaluate_candidate(agents[i], loads[i], request, time, limits.avoided[i], random());
            if (!best || is_better(next, *best)) {
                best = next;
                position = i;
            }
        }
        if (!best) {
            break;
        }
        count_order(loads[position], request.demand, time);
        ++limits.tasks_of_job[position];
        placement.agents.push_back(position);
        placement.waits.push_back(best->wait);
        placement.longest_wait = std::max(placement.longest_wait, best->wait);
    }
    return placement;
}

} // namespace carobfall
