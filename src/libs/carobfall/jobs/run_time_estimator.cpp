#include "carobfall/jobs/run_time_estimator.h"

#include <algorithm>
#include <cmath>

namespace carobfall {
namespace {

// Weight of a new run after many runs. The averages then cover about one second of the runs of a
// busy route.
constexpr double min_weight = 0.02;
constexpr std::size_t min_runs = 10;
// Declared and measured run times have errors of about the same factor.
constexpr double declared_weight = 0.5;
// Limits the memory for averages of removed routes. A configuration has far fewer routes.
constexpr std::size_t max_routes = 10000;
constexpr absl::Duration min_duration = absl::Milliseconds(1);
// Upper bound that keeps the logarithm finite: one infinite value would invalidate the averages.
constexpr absl::Duration max_duration = absl::Hours(24);

double log_seconds(absl::Duration duration)
{
    return std::log(absl::ToDoubleSeconds(std::clamp(duration, min_duration, max_duration)));
}

} // namespace

void run_time_estimator::record(const std::string& route, absl::Duration declared,
                                absl::Duration run)
{
    if (routes_.size() >= max_routes && !routes_.contains(route)) {
        routes_.clear();
    }
    averages& route_averages = routes_[route];
    ++route_averages.runs;
    const double weight = std::max(min_weight, 1 / static_cast<double>(route_averages.runs));
    route_averages.log_run += weight * (log_seconds(run) - route_averages.log_run);
    route_averages.log_correction +=
        weight * (log_seconds(run) - log_seconds(declared) - route_averages.log_correction);
}

absl::Duration run_time_estimator::expected(const std::string& route, absl::Duration declared) const
{
    const auto found = routes_.find(route);
    if (found == routes_.end() || found->second.runs < min_runs) {
        return declared;
    }
    const double corrected = log_seconds(declared) + found->second.log_correction;
    return absl::Seconds(
        std::exp(declared_weight * corrected + (1 - declared_weight) * found->second.log_run));
}

} // namespace carobfall
