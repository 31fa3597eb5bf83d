#include "carobfall/jobs/placement_explanation.h"

#include "carobfall/jobs/task_order.h"

#include <algorithm>
#include <tuple>

namespace carobfall {
namespace {

// With the same number for all agents, the draws order them by their weight in the random choice.
constexpr double same_random = 0.5;

std::vector<explained_agent> evaluate_agents(const placement_inputs& inputs,
                                             const job_request& request, const task_time& time)
{
    std::vector<explained_agent> result;
    result.reserve(inputs.agents.size());
    for (const agent_view& agent : inputs.agents) {
        explained_agent& added = result.emplace_back();
        added.position = result.size() - 1;
        added.obstacle = find_obstacle(agent, request, 0);
        added.has_data = request.data_rack.empty() || agent.rack == request.data_rack;
        added.report_age = inputs.report_age(agent.name);
        if (added.obstacle == placement_obstacle::none) {
            added.candidate = evaluate_candidate(agent, agent.load, request, time, false,
                                                 inputs.settings, same_random);
        }
    }
    return result;
}

void sort_by_choice(std::vector<explained_agent>& agents, const job_placement& placement)
{
    std::vector<std::size_t> turn(agents.size(), placement.agents.size());
    for (std::size_t task = placement.agents.size(); task > 0; --task) {
        turn[placement.agents[task - 1]] = task - 1;
    }
    // Compares as `is_better`, but without its tolerance, with which it is no order to sort by.
    const auto key = [&](const explained_agent& agent) {
        const placement_candidate& candidate = agent.candidate;
        return std::tuple(turn[agent.position], agent.obstacle, candidate.lateness_ms,
                          candidate.wait > absl::ZeroDuration(), -candidate.draw);
    };
    std::stable_sort(agents.begin(), agents.end(),
                     [&](const auto& left, const auto& right) { return key(left) < key(right); });
}

void add_report_ages(placement_explanation& result)
{
    bool first = true;
    for (const explained_agent& agent : result.agents) {
        if (agent.obstacle == placement_obstacle::unusable) {
            continue;
        }
        result.newest_report =
            first ? agent.report_age : std::min(result.newest_report, agent.report_age);
        result.oldest_report = std::max(result.oldest_report, agent.report_age);
        first = false;
    }
}

} // namespace

placement_explanation explain_placement(const placement_inputs& inputs, const job_request& request,
                                        absl::Time now)
{
    placement_explanation result;
    result.timing = timing_of(request, inputs.expected_run, now);
    result.time = make_task_time(request, result.timing, inputs.expected_run, now);
    result.placement = place_tasks(inputs.agents, request, result.time, request.task_count, {},
                                   inputs.random, inputs.settings, now);
    result.agents = evaluate_agents(inputs, request, result.time);
    for (const std::size_t position : result.placement.agents) {
        ++result.agents[position].tasks;
    }
    for (explained_agent& agent : result.agents) {
        agent.obstacle_afterwards =
            find_obstacle(inputs.agents[agent.position], request, agent.tasks);
    }
    sort_by_choice(result.agents, result.placement);
    add_report_ages(result);
    result.admission =
        decide_admission(request, result.timing, inputs.expected_run, result.placement,
                         inputs.last_immediate_start, inputs.shares, now, inputs.random);
    result.admitted_wait =
        admitted_wait(request.priority, result.timing.start_by - now, result.admission.queued_for);
    result.can_end_in_time = can_still_end(inputs.expected_run, now + result.placement.longest_wait,
                                           result.timing.give_up);
    return result;
}

} // namespace carobfall
