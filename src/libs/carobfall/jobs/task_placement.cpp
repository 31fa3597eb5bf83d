#include "carobfall/jobs/task_placement.h"

#include "carobfall/jobs/near_data.h"
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

double release_rate(const resource_amounts& capacity, const agent_load& load)
{
    const double least = static_cast<double>(capacity.cpu_millicores) / max_usual_run_s;
    return std::max({load.released_millicores_per_s, least, 1.0});
}

struct found_candidate {
    placement_candidate expected;
    std::size_t position{0};
};

/// The agents near or far from the data that can take a task.
struct candidate_group {
    void add(const placement_candidate& candidate, std::size_t position, const agent_view& agent)
    {
        if (!best || is_better(candidate, best->expected)) {
            best = {candidate, position};
        }
        capacity += agent.capacity.cpu_millicores;
        if (candidate.wait > absl::ZeroDuration()) {
            full_capacity += agent.capacity.cpu_millicores;
        }
    }
    [[nodiscard]] double full_share() const
    {
        return static_cast<double>(full_capacity) /
               static_cast<double>(std::max<std::int64_t>(capacity, 1));
    }

    std::optional<found_candidate> best;
    std::int64_t capacity{0};
    std::int64_t full_capacity{0}; ///< of agents where the task would wait
};

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
    return std::max(absl::Seconds(static_cast<double>(missing) / release_rate(capacity, load)),
                    min_wait);
}

absl::Duration room_time(const resource_amounts& capacity, const agent_load& load,
                         const resource_amounts& demand)
{
    const std::int64_t left = load.free.cpu_millicores - demand.cpu_millicores;
    return absl::Seconds(static_cast<double>(std::max<std::int64_t>(left, 0)) /
                         release_rate(capacity, load));
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
                          const std::function<double()>& random, const placement_settings& settings,
                          absl::Time now)
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
        // Without a rack of data, all agents count as near.
        candidate_group near;
        candidate_group far;
        for (std::size_t i = 0; i < agents.size(); ++i) {
            if (find_obstacle(agents[i], request, limits.tasks_of_job[i]) !=
                placement_obstacle::none) {
                continue;
            }
            candidate_group& group = is_away_from_data(agents[i], request) ? far : near;
            group.add(evaluate_candidate(agents[i], loads[i], request, time, limits.avoided[i],
                                         settings, random()),
                      i, agents[i]);
        }
        if (!near.best && !far.best) {
            break;
        }
        const auto place_of = [&](const candidate_group& group) {
            const auto& [expected, position] = *group.best;
            const agent_view& agent = agents[position];
            return data_place{
                expected.wait,           room_time(agent.capacity, loads[position], request.demand),
                now - agent.reported_at, time.expected_run * expected.slowness,
                expected.losses,         group.full_share()};
        };
        data_choice choice{near.best.has_value(), absl::ZeroDuration()};
        if (near.best && far.best) {
            choice =
                choose_near_or_far(place_of(near), place_of(far), time.expected_run, time.slack);
        }
        const auto& [expected, position] = choice.near ? *near.best : *far.best;
        // A job that would be on time elsewhere is not refused because of the wait near its data.
        const bool is_far_on_time = far.best && far.best->expected.lateness_ms <= 0;
        const absl::Duration shortest_wait =
            is_far_on_time ? std::min(expected.wait, far.best->expected.wait) : expected.wait;
        task_time time_there = time;
        time_there.expected_run *= choice.near ? 1 : settings.remote_slowdown;
        count_order(loads[position], request.demand, time_there);
        ++limits.tasks_of_job[position];
        placement.agents.push_back(position);
        placement.waits.push_back(expected.wait);
        placement.worthwhile_waits.push_back(
            choice.near ? std::max(choice.worthwhile_wait, expected.wait) : expected.wait);
        placement.away.push_back(!choice.near);
        placement.longest_wait = std::max(placement.longest_wait, shortest_wait);
        placement.near_full_share = std::max(placement.near_full_share, near.full_share());
        placement.far_full_share = std::max(placement.far_full_share, far.full_share());
    }
    return placement;
}

} // namespace carobfall
