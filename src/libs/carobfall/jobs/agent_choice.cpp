#include "carobfall/jobs/agent_choice.h"

#include <algorithm>

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

bool can_take(const agent_view& agent, const job_request& request)
{
    if (!agent.usable || agent.service != request.service ||
        !request.demand.fits_into(agent.capacity)) {
        return false;
    }
    if (request.max_tasks_per_agent > 0 && agent.tasks_of_job >= request.max_tasks_per_agent) {
        return false;
    }
    return request.required_label.empty() ||
           std::find(agent.labels.begin(), agent.labels.end(), request.required_label) !=
               agent.labels.end();
}

double free_share(const agent_view& agent)
{
    return static_cast<double>(agent.free.cpu_millicores) /
           static_cast<double>(std::max<std::int64_t>(agent.capacity.cpu_millicores, 1));
}

} // namespace

absl::Duration expected_wait(const agent_view& agent, const resource_amounts& demand,
                             double core_ms_before)
{
    if (demand.fits_into(agent.free)) {
        return absl::ZeroDuration();
    }
    const double cores = std::max(static_cast<double>(agent.capacity.cpu_millicores) / 1000, 0.001);
    // At least one of the runs has to end first.
    constexpr absl::Duration min_wait = absl::Milliseconds(20);
    return min_wait + agent.slowness * absl::Milliseconds(core_ms_before / cores);
}

std::optional<std::size_t> choose_agent(std::span<const agent_view> agents,
                                        const job_request& request, const task_time& time,
                                        const std::function<double()>& random)
{
    std::optional<std::size_t> best;
    double best_score = 0;
    double best_room = 0;
    for (std::size_t i = 0; i < agents.size(); ++i) {
        const agent_view& agent = agents[i];
        if (!can_take(agent, request)) {
            continue;
        }
        const bool remote = !request.data_rack.empty() && agent.rack != request.data_rack;
        const double slowness = agent.slowness * (remote ? remote_data_factor : 1.0);
        absl::Duration delay = expected_wait(agent, request.demand, agent.waiting_core_ms) +
                               time.expected_run * (slowness - 1) +
                               failing_penalty * agent.failure_share;
        if (agent.avoided) {
            delay += failed_before_penalty;
        }
        const double score = absl::ToDoubleMilliseconds(
            std::max(delay - safe_share_of_slack * time.slack, absl::ZeroDuration()));
        const double room = free_share(agent) * (0.8 + 0.4 * random()) / slowness;
        const bool clearly_better = score < best_score * (1 - score_tolerance);
        const bool as_good = score <= best_score * (1 + score_tolerance);
        if (!best || clearly_better || (as_good && room > best_room)) {
            best = i;
            best_score = score;
            best_room = room;
        }
    }
    return best;
}

} // namespace carobfall
