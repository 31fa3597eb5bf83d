#include "carobfall/jobs/placement_candidate.h"

#include "carobfall/jobs/interruption_rate.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>

namespace carobfall {
namespace {

// Lateness values that differ by less than this share count as equal, because run times are only
// estimated.
constexpr double score_tolerance = 0.05;
// Delay added for a worker that fails all runs, in proportion to its share of failures.
constexpr absl::Duration failing_penalty = absl::Seconds(1);
// Delay added for a worker on which a task of the job has failed or waited too long already.
constexpr absl::Duration avoided_penalty = absl::Seconds(2);
// Time until the task of an interrupted run can run elsewhere: the rest of the worker's lease.
constexpr absl::Duration interruption_delay = absl::Seconds(1);
// Rate that halves the room that counts in the random choice. One interruption in the last seconds
// does not exclude a worker: many restart at the same time, and their room is needed.
constexpr double tolerated_interruptions_per_s = 0.1;
// Lower bound that keeps the logarithm finite.
constexpr double min_random = 1e-9;

/// Weight of the agent in the random choice: its relative share of the tasks that entries place.
double placement_weight(const agent_load& load, absl::Duration wait, double slowness,
                        double interruptions_per_s)
{
    const auto free = static_cast<double>(std::max<std::int64_t>(load.free.cpu_millicores, 1));
    const double room =
        wait > absl::ZeroDuration() ? 1 / absl::ToDoubleMilliseconds(wait) : free / slowness;
    const double trusted_room = room / (1 + interruptions_per_s / tolerated_interruptions_per_s);
    // The cube prefers agents with more room without directing all entries to the same agents.
    return trusted_room * trusted_room * trusted_room;
}

/// Weighted random sampling (Efraimidis and Spirakis), computed with logarithms. The probability
/// that a candidate has the greatest draw is proportional to its weight.
double weighted_draw(double weight, double random)
{
    return std::log(std::max(random, min_random)) / weight;
}

bool has_label(const agent_view& agent, const std::string& label)
{
    return std::find(agent.labels.begin(), agent.labels.end(), label) != agent.labels.end();
}

} // namespace

std::string_view name_of(placement_obstacle obstacle)
{
    constexpr std::array<std::string_view, 6> names = {"none",      "unusable",   "other_service",
                                                       "too_small", "task_limit", "label_missing"};
    return names.at(static_cast<std::size_t>(obstacle));
}

placement_obstacle find_obstacle(const agent_view& agent, const job_request& request,
                                 std::uint32_t tasks_of_job)
{
    if (!agent.usable) {
        return placement_obstacle::unusable;
    }
    if (agent.service != request.service) {
        return placement_obstacle::other_service;
    }
    if (!request.demand.fits_into(agent.capacity)) {
        return placement_obstacle::too_small;
    }
    if (request.max_tasks_per_agent > 0 && tasks_of_job >= request.max_tasks_per_agent) {
        return placement_obstacle::task_limit;
    }
    return request.required_label.empty() || has_label(agent, request.required_label)
               ? placement_obstacle::none
               : placement_obstacle::label_missing;
}

bool is_away_from_data(const agent_view& agent, const job_request& request)
{
    return !request.data_rack.empty() && agent.rack != request.data_rack;
}

placement_candidate evaluate_candidate(const agent_view& agent, const agent_load& load,
                                       const job_request& request, const task_time& time,
                                       bool avoided, const placement_settings& settings,
                                       double random)
{
    placement_candidate result;
    result.slowness =
        agent.slowness * (is_away_from_data(agent, request) ? settings.remote_slowdown : 1.0);
    result.wait = expected_wait(agent.capacity, load, request.demand, time.rank);
    result.losses =
        failing_penalty * agent.failure_share +
        interruption_delay * interruption_probability(agent.interruptions_per_s,
                                                      time.expected_run * result.slowness);
    if (avoided) {
        result.losses += avoided_penalty;
    }
    const absl::Duration delay =
        result.wait + time.expected_run * (result.slowness - 1) + result.losses;
    result.lateness_ms = absl::ToDoubleMilliseconds(
        std::max(delay - safe_share_of_slack * time.slack, absl::ZeroDuration()));
    result.draw = weighted_draw(
        placement_weight(load, result.wait, result.slowness, agent.interruptions_per_s), random);
    return result;
}

bool is_better(const placement_candidate& left, const placement_candidate& right)
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

} // namespace carobfall
