#include "carobfall/jobs/task_placement.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace carobfall {
namespace {

// Run time on a rack without the data of the task, divided by the run time on a rack with the data.
// The platform states this figure for its present deployments. It is only used to compare workers.
constexpr double remote_data_factor = 1.5;
// A delay within this share of the slack counts as on time. The rest allows for waits and run times
// that are somewhat longer than estimated.
constexpr double safe_share_of_slack = 0.6;
// Lateness values that differ by less than this share count as equal, because run times are only
// estimated.
constexpr double score_tolerance = 0.05;
// Delay added for a worker that fails all runs, in proportion to its share of failures.
constexpr absl::Duration failing_penalty = absl::Seconds(1);
// Delay added for a worker on which a task of the job has failed already.
constexpr absl::Duration failed_before_penalty = absl::Seconds(2);
// Runs last about a second at most, so that a worker releases at least all of its room in this
// time.
constexpr double max_usual_run_s = 1;
// Lower bound of the wait if the task does not fit now. A task that only lacks memory may ask for
// hardly any processor time, but still waits for a run to end.
constexpr absl::Duration min_wait = absl::Milliseconds(1);
// Lower bound that keeps the logarithm finite.
constexpr double min_random = 1e-9;

struct candidate {
    std::size_t position{0};
    absl::Duration wait;
    double lateness_ms{0};
    double draw{0}; ///< the greatest draw wins among candidates with equal lateness
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

/// Weight of the agent in the random choice: its relative share of the tasks that entries place.
double placement_weight(const agent_load& load, absl::Duration wait, double slowness)
{
    const auto free = static_cast<double>(std::max<std::int64_t>(load.free.cpu_millicores, 1));
    const double room =
        wait > absl::ZeroDuration() ? 1 / absl::ToDoubleMilliseconds(wait) : free / slowness;
    // The cube prefers agents with more room without directing all entries to the same agents.
    return room * room * room;
}

/// Weighted random sampling (Efraimidis and Spirakis), computed with logarithms. The probability
/// that a candidate has the greatest draw is proportional to its weight.
double weighted_draw(double weight, double random)
{
    return std::log(std::max(random, min_random)) / weight;
}

candidate evaluate(const agent_view& agent, const agent_load& load, const job_request& request,
                   const task_time& time, bool avoided, double random)
{
    const bool remote = !request.data_rack.empty() && agent.rack != request.data_rack;
    const double slowness = agent.slowness * (remote ? remote_data_factor : 1.0);
    candidate result;
    result.wait = expected_wait(agent.capacity, load, request.demand, time.rank);
    absl::Duration delay =
        result.wait + time.expected_run * (slowness - 1) + failing_penalty * agent.failure_share;
    if (avoided) {
        delay += failed_before_penalty;
    }
    result.lateness_ms = absl::ToDoubleMilliseconds(
        std::max(delay - safe_share_of_slack * time.slack, absl::ZeroDuration()));
    result.draw = weighted_draw(placement_weight(load, result.wait, slowness), random);
    return result;
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
        std::optional<candidate> best;
        for (std::size_t i = 0; i < agents.size(); ++i) {
            if (!can_take(agents[i], request, limits.tasks_of_job[i])) {
                continue;
            }
            candidate next =
                evaluate(agents[i], loads[i], request, time, limits.avoided[i], random());
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
