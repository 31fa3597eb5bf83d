#include "load_statistics.h"

#include <algorithm>
#include <cmath>

namespace carobfall::tool {
namespace {

using json = nlohmann::json;

constexpr const char* complete = "complete";

json quantiles_of(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return {{"p50", quantile_of(values, 0.5)},
            {"p99", quantile_of(values, 0.99)},
            {"p99.9", quantile_of(values, 0.999)},
            {"max", quantile_of(values, 1)}};
}

} // namespace

double quantile_of(const std::vector<double>& sorted, double q)
{
    if (sorted.empty()) {
        return 0;
    }
    const auto rank = static_cast<std::size_t>(std::ceil(q * static_cast<double>(sorted.size())));
    return sorted[std::clamp<std::size_t>(rank, 1, sorted.size()) - 1];
}

void load_statistics::add(const load_sample& sample)
{
    end_ = std::max(end_, sample.answered);
    samples_.push_back(sample);
}

void load_statistics::add_start(const std::string& task)
{
    ++starts_[task];
}

void load_statistics::set_data_centre(const std::string& agent, const std::string& data_centre)
{
    data_centres_[agent] = data_centre;
}

start_counts load_statistics::starts() const
{
    start_counts counts;
    counts.has_starts = !starts_.empty();
    counts.tasks = starts_.size();
    for (const auto& [task, count] : starts_) {
        counts.starts += count;
        counts.repeated += count > 1 ? 1 : 0;
        counts.max_per_task = std::max(counts.max_per_task, count);
    }
    return counts;
}

std::vector<double> load_statistics::slowdowns() const
{
    std::vector<double> values;
    for (const load_sample& sample : samples_) {
        if (sample.outcome == complete) {
            values.push_back(sample.slowdown());
        }
    }
    std::sort(values.begin(), values.end());
    return values;
}

json load_statistics::latency() const
{
    std::vector<double> response_ms;
    std::vector<double> send_delay_ms;
    for (const load_sample& sample : samples_) {
        send_delay_ms.push_back(absl::ToDoubleMilliseconds(sample.sent - sample.intended));
        if (sample.outcome == complete) {
            response_ms.push_back(absl::ToDoubleMilliseconds(sample.response()));
        }
    }
    return {{"response_over_ideal", quantiles_of(slowdowns())},
            {"response_ms", quantiles_of(std::move(response_ms))},
            {"send_delay_ms", quantiles_of(std::move(send_delay_ms))}};
}

json load_statistics::tasks_per_second() const
{
    std::map<std::string, std::uint64_t> counts;
    for (const load_sample& sample : samples_) {
        for (const auto& [agent, count] : sample.ran_by_agent) {
            const auto known = data_centres_.find(agent);
            counts[known == data_centres_.end() ? agent : known->second] += count;
        }
    }
    const double seconds = absl::ToDoubleSeconds(end_);
    json rates = json::object();
    for (const auto& [place, count] : counts) {
        rates[place] = seconds > 0 ? static_cast<double>(count) / seconds : 0;
    }
    return rates;
}

json load_statistics::start_summary() const
{
    const start_counts counts = starts();
    if (!counts.has_starts) {
        return nullptr;
    }
    return {{"tasks_started", counts.tasks},
            {"starts", counts.starts},
            {"starts_per_task", static_cast<double>(counts.starts) /
                                    static_cast<double>(std::max<std::uint64_t>(counts.tasks, 1))},
            {"most_starts_of_a_task", counts.max_per_task},
            {"tasks_started_more_than_once", counts.repeated}};
}

std::uint64_t load_statistics::tasks_ran() const
{
    std::uint64_t ran = 0;
    for (const load_sample& sample : samples_) {
        for (const auto& [agent, count] : sample.ran_by_agent) {
            ran += count;
        }
    }
    return ran;
}

json load_statistics::to_json() const
{
    std::map<std::string, std::uint64_t> refusals;
    std::uint64_t tasks = 0;
    for (const load_sample& sample : samples_) {
        tasks += sample.tasks;
        if (sample.outcome != complete) {
            ++refusals[sample.outcome];
        }
    }
    return {{"submissions", samples_.size()},
            {"complete", slowdowns().size()},
            {"tasks_sent", tasks},
            {"tasks_ran", tasks_ran()},
            {"seconds", absl::ToDoubleSeconds(end_)},
            {"latency", latency()},
            {"tasks_per_second_by_data_centre", tasks_per_second()},
            {"not_complete_by_kind", refusals},
            {"starts", start_summary()}};
}

} // namespace carobfall::tool
