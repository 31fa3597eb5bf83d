#include "carobfall/jobs/agent_choice.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace carobfall {
namespace {

// Run time on a rack without the data of the task, against one with it; the platform's figure for
// today's deployments, used only to compare workers.
constexpr double remote_data_factor = 1.5;
// A delay within this share of the slack is on time also if waits and speeds are a little worse
// than known.
constexpr double safe_share_of_slack = 0.6;
// Scores that differ by less are the same within what is known of run times.
constexpr double score_tolerance = 0.05;
// Extra time counted for a worker that fails all runs; a worker with some failures gets less work.
constexpr absl::Duration failing_penalty = absl::Seconds(1);
// Extra time counted for a worker on which a task of the job has failed already.
constexpr absl::Duration failed_before_penalty = absl::Seconds(2);
// Runs last about a second at most: a worker gives back all of its room in this time at least.
constexpr double longest_usual_run_s = 1;
// A run has to end first, also if the task lacks memory and hardly needs a processor.
constexpr absl::Duration shortest_wait = absl::Milliseconds(1);
// Keeps the logarithm finite.
constexpr double smallest_random = 1e-9;

struct candidate {
    std::size_t position{0};
    absl::Duration wait;
    double lateness_ms{0};
    double draw{0}; ///< the greatest is chosen among those that are as little late
};

bool can_take(const agent_view& agent, const job_request& request, std::uint32_t tasks_of_job)
{
    if (!agent.usable || agent.service != request.service ||
        !request.demand.fits_into(agent.capacity)) {
        return false;
    }
    if (request.max_tasks_per_agent > 0 && tasks_of_job >= request.max_tasks_per_agent) {
        return false;
    }
    return request.required_label.empty() ||
           std::find(agent.labels.begin(), agent.labels.end(), request.required_label) !=
               agent.labels.end();
}

/// Share of the tasks that an agent is to get of those that several entries place at once.
double weight_of(const agent_load& load, absl::Duration wait, double slowness)
{
    const auto free = static_cast<double>(std::max<std::int64_t>(load.free.cpu_millicores, 1));
    const double room =
        wait > absl::ZeroDuration() ? 1 / absl::ToDoubleMilliseconds(wait) : free / slowness;
    // The cube prefers the emptier agents without sending all entries to the same ones.
    return room * room * room;
}

/// The greatest of such draws is each candidate's with a probability proportional to its weight
/// (Efraimidis and Spirakis, weighted random sampling, as a logarithm).
double weighted_draw(double weight, double random)
{
    return std::log(std::max(random, smallest_random)) / weight;
}

candidate weigh(const agent_view& agent, const agent_load& load, const job_request& request,
                const task_time& time, bool avoided, double random)
{
    const bool remote = !request.data_rack.empty() && agent.rack != request.data_rack;
    const double slowness = agent.slowness * (remote ? remote_data_factor : 1.0);
    candidate weighed;
    weighed.wait = expected_wait(agent.capacity, load, request.demand, time.rank);
    absl::Duration delay =
        weighed.wait + time.expected_run * (slowness - 1) + failing_penalty * agent.failure_share;
    if (avoided) {
        delay += failed_before_penalty;
    }
    weighed.lateness_ms = absl::ToDoubleMilliseconds(
        std::max(delay - safe_share_of_slack * time.slack, absl::ZeroDuration()));
    weighed.draw = weighted_draw(weight_of(load, weighed.wait, slowness), random);
    return weighed;
}

bool is_better(const candidate& left, const candidate& right)
{
    const bool clearly_better = left.lateness_ms < right.lateness_ms * (1 - score_tolerance);
    const bool as_good = left.lateness_ms <= right.lateness_ms * (1 + score_tolerance);
    if (clearly_better || !as_good) {
        return clearly_better;
    }
    const bool left_waits = left.wait > absl::ZeroDuration();
    const bool right_waits = right.wait > absl::ZeroDuration();
    return left_waits == right_waits ? left.draw > right.draw : right_waits;
}

} // namespace

absl::Duration expected_wait(const resource_amounts& capacity, const agent_load& load,
                             const resource_amounts& demand, absl::Duration rank)
{
    const std::int64_t before = load.waiting.millicores_before(rank);
    const bool fits = demand.fits_into(load.free);
    if (fits && before + demand.cpu_millicores <= load.free.cpu_millicores) {
        return absl::ZeroDuration();
    }
    // Room that is too small for this task doesn't help the ones before it either.
    const std::int64_t missing =
        before + demand.cpu_millicores - (fits ? load.free.cpu_millicores : 0);
    const double released =
        std::max(load.released_millicores_per_s,
                 static_cast<double>(capacity.cpu_millicores) / longest_usual_run_s);
    return std::max(absl::Seconds(static_cast<double>(missing) / std::max(released, 1.0)),
                    shortest_wait);
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
        std::optional<candidate> best;
        for (std::size_t i = 0; i < agents.size(); ++i) {
            if (!can_take(agents[i], request, limits.tasks_of_job[i])) {
                continue;
            }
            candidate next = weigh(agents[i], loads[i], request, time, limits.avoided[i], random());
            next.position = i;
            if (!best || is_better(next, *best)) {
                best = next;
            }
        }
        if (!best) {
            break;
        }
        count_order(loads[best->position], request.demand, time);
        ++limits.tasks_of_job[best->position];
        placement.agents.push_back(best->position);
        placement.waits.push_back(best->wait);
        placement.longest_wait = std::max(placement.longest_wait, best->wait);
    }
    return placement;
}

} // namespace carobfall
