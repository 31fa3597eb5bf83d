#include "load_plan.h"

#include "arrival_process.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace carobfall::tool {
namespace {

// Distance between the seeds of two classes, and of arrivals and sizes within a class.
constexpr std::uint64_t seed_step = 0x9E3779B97F4A7C15ULL;

template <typename T>
const T& choose(const std::vector<T>& items, std::mt19937_64& random)
{
    double left = uniform_random(random);
    for (const T& item : items) {
        left -= item.share;
        if (left < 0) {
            return item;
        }
    }
    return items.back();
}

std::uint32_t choose_run_ms(const load_class& class_settings, std::mt19937_64& random)
{
    const run_range& range = choose(class_settings.run, random);
    const absl::Duration run =
        range.shortest + (range.longest - range.shortest) * uniform_random(random);
    return static_cast<std::uint32_t>(std::lround(absl::ToDoubleMilliseconds(run)));
}

std::vector<planned_submission> plan_class(const load_workload& workload, std::size_t index)
{
    const load_class& class_settings = workload.classes[index];
    const std::uint64_t seed = workload.seed + 2 * index * seed_step;
    arrival_process arrivals({.per_second = workload.rate_of(class_settings),
                              .burst_every = class_settings.burst_every,
                              .burst_size = class_settings.burst_submissions},
                             seed);
    std::mt19937_64 random(seed + seed_step);
    std::vector<planned_submission> plan;
    for (absl::Duration at = arrivals.next();
         at < workload.duration && plan.size() < workload.max_submissions; at = arrivals.next()) {
        planned_submission planned{.at = at, .class_index = index, .run_ms = {}};
        planned.run_ms.resize(choose(class_settings.jobs, random).tasks);
        for (std::uint32_t& run_ms : planned.run_ms) {
            run_ms = choose_run_ms(class_settings, random);
        }
        plan.push_back(std::move(planned));
    }
    return plan;
}

} // namespace

std::vector<planned_submission> plan_load(const load_workload& workload)
{
    std::vector<planned_submission> plan;
    for (std::size_t i = 0; i < workload.classes.size(); ++i) {
        std::vector<planned_submission> class_plan = plan_class(workload, i);
        std::move(class_plan.begin(), class_plan.end(), std::back_inserter(plan));
    }
    std::stable_sort(plan.begin(), plan.end(),
                     [](const auto& left, const auto& right) { return left.at < right.at; });
    plan.resize(std::min(plan.size(), workload.max_submissions));
    return plan;
}

absl::Duration ideal_response(const load_workload& workload, const planned_submission& planned)
{
    const std::uint32_t longest = *std::max_element(planned.run_ms.begin(), planned.run_ms.end());
    return absl::Milliseconds(longest) + round_trips * workload.round_trip;
}

} // namespace carobfall::tool
