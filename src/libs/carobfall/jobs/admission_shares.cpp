#include "carobfall/jobs/admission_shares.h"

#include "carobfall/jobs/fair_shares.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <tuple>
#include <utility>

namespace carobfall {
namespace {

// Mean age of the jobs that the averages cover. Callers that are refused retry after one second or
// more, and a route that has grown has to be noticed within a few seconds.
constexpr absl::Duration memory = absl::Seconds(3);
// Averages of a shorter time than this contain too few jobs to decide by them.
constexpr absl::Duration min_observation = absl::Seconds(1);
// The average of a route has decayed to less than a ten-thousandth after this time without a job.
const absl::Duration idle_time = 10 * memory;
// Limits the memory for averages. Jobs of further routes are decided on as without shares.
constexpr std::size_t max_routes = 1000;
// Part of the demand that is refused in passing bursts while there is room for the average load.
constexpr double refused_in_bursts = 0.05;
// Bounds of the admitted wait, relative to the wait without shares.
constexpr double min_wait_factor = 0.1;
constexpr double max_wait_factor = 4;
// A job below its share waits at most for this part of its slack, because waits and run times may
// be longer than estimated.
constexpr double max_share_of_slack = 0.5;
// Exponent of the wait factor for a route that gets nothing of its share. The factor reaches its
// bounds when a route is 7% below or 12% above its share.
constexpr double factor_exponent = 20;
// Longest expected run time that is counted. It keeps the averages finite.
constexpr absl::Duration max_counted_run = absl::Hours(24);

double wait_factor(const route_share& route)
{
    const double below = route.share > 0 ? (route.share - route.admitted) / route.share : 0;
    return std::clamp(std::exp(factor_exponent * below), min_wait_factor, max_wait_factor);
}

/// Whether the route is behind by more than the floor allows, while another one is not.
bool goes_first(const route_share& route, const std::vector<route_share>& routes, double floor)
{
    return route.admitted_part() < floor &&
           std::any_of(routes.begin(), routes.end(),
                       [floor](const route_share& other) { return other.admitted_part() > floor; });
}

bool is_short_of_room(const std::vector<route_share>& routes)
{
    double demanded = 0;
    double admitted = 0;
    for (const route_share& route : routes) {
        demanded += route.demanded;
        admitted += route.admitted;
    }
    return admitted > 0 && admitted < (1 - refused_in_bursts) * demanded;
}

/// The time after which a route of which no further job is admitted is no longer above its share.
absl::Duration time_to_share(const route_share& route)
{
    return route.share > 0 && route.admitted > route.share
               ? memory * std::log(route.admitted / route.share)
               : absl::ZeroDuration();
}

} // namespace

double room_of(const job_request& request, absl::Duration expected_run)
{
    const absl::Duration run = std::clamp(std::min(expected_run, request.time_limit),
                                          absl::ZeroDuration(), max_counted_run);
    const auto millicores =
        static_cast<double>(std::max<std::int64_t>(request.demand.cpu_millicores, 0));
    return request.task_count * millicores * absl::ToDoubleSeconds(run);
}

void admission_shares::averages::decay(absl::Time now)
{
    const absl::Duration age = std::max(now - updated_at, absl::ZeroDuration());
    const double remaining = std::exp(-absl::FDivDuration(age, memory));
    demanded *= remaining;
    admitted *= remaining;
    updated_at = std::max(now, updated_at);
}

void admission_shares::configure(std::optional<admission_settings> settings)
{
    settings_ = std::move(settings);
    if (!settings_) {
        routes_.clear();
    }
}

admission_decision admission_shares::decide(const job_request& request, const job_timing& timing,
                                            const admission_candidate& candidate, absl::Time now,
                                            double random)
{
    const admission_decision decision = evaluate(request, timing, candidate, now, random);
    count(request, timing, candidate.expected_run, decision.admitted, now);
    return decision;
}

void admission_shares::count(const job_request& request, const job_timing& timing,
                             absl::Duration expected_run, bool admitted, absl::Time now)
{
    // A job that can't end in time even without a queue isn't refused in favour of others, so that
    // it is no demand.
    if (settings_ && (admitted || can_still_end(expected_run, now, timing.give_up))) {
        record(request.route, room_of(request, expected_run), admitted, now);
    }
}

admission_decision admission_shares::evaluate(const job_request& request, const job_timing& timing,
                                              const admission_candidate& candidate, absl::Time now,
                                              double random) const
{
    const admission_decision usual =
        admit(timing, request.priority, candidate.expected_run, candidate.expected_wait,
              candidate.queued_for, now, random);
    if (!settings_ || candidate.expected_wait <= absl::ZeroDuration() ||
        now - observed_since_ < min_observation) {
        return usual;
    }
    const std::vector<route_share> routes = shares(now);
    const auto route =
        std::find_if(routes.begin(), routes.end(), [&](const route_share& candidate_route) {
            return candidate_route.route == request.route;
        });
    if (route == routes.end() || !is_short_of_room(routes)) {
        return usual;
    }
    const double factor =
        goes_first(*route, routes, settings_->floor) ? max_wait_factor : wait_factor(*route);
    const absl::Duration slack = std::max(timing.start_by - now, absl::ZeroDuration());
    const absl::Duration usual_wait = admitted_wait(request.priority, slack, candidate.queued_for);
    const absl::Duration longest =
        factor > 1 ? std::max(usual_wait, std::min(factor * usual_wait, max_share_of_slack * slack))
                   : factor * usual_wait;
    if (candidate.expected_wait <= longest &&
        can_still_end(candidate.expected_run, now + candidate.expected_wait, timing.give_up)) {
        return {};
    }
    return {false, spread_retry(std::max(candidate.expected_wait, time_to_share(*route)), random)};
}

std::vector<route_share> admission_shares::shares(absl::Time now) const
{
    std::vector<route_share> routes;
    if (!settings_) {
        return routes;
    }
    double room = 0;
    for (const auto& [name, stored] : routes_) {
        averages current = stored;
        current.decay(now);
        routes.push_back({name, current.demanded, current.admitted, 0});
        room += current.admitted;
    }
    std::sort(routes.begin(), routes.end(), [](const route_share& left, const route_share& right) {
        return std::tie(right.demanded, left.route) < std::tie(left.demanded, right.route);
    });
    std::vector<weighted_demand> demands;
    demands.reserve(routes.size());
    for (const route_share& route : routes) {
        demands.push_back({route.demanded, settings_->weight_of(route.route)});
    }
    const std::vector<double> entitled = fair_shares(demands, room, settings_->floor);
    for (std::size_t i = 0; i < routes.size(); ++i) {
        routes[i].share = entitled[i];
    }
    return routes;
}

void admission_shares::record(const std::string& route, double room, bool admitted, absl::Time now)
{
    remove_idle_routes(now);
    if (routes_.size() >= max_routes && !routes_.contains(route)) {
        return;
    }
    if (routes_.empty()) {
        observed_since_ = now;
    }
    averages& average = routes_[route];
    average.decay(now);
    const double rate = room / absl::ToDoubleSeconds(memory);
    average.demanded += rate;
    average.admitted += admitted ? rate : 0;
}

void admission_shares::remove_idle_routes(absl::Time now)
{
    if (now - last_removal_ < memory) {
        return;
    }
    last_removal_ = now;
    absl::erase_if(routes_,
                   [now](const auto& route) { return now - route.second.updated_at >= idle_time; });
}

} // namespace carobfall
