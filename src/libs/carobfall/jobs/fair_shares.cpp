#include "carobfall/jobs/fair_shares.h"

#include <algorithm>
#include <utility>

namespace carobfall {
namespace {

/// A level from which on the room that the routes take grows faster or slower.
using slope_change = std::pair<double, double>;

/// Returns the level at which the routes take `room`, if each takes at least `floor` of its demand.
double find_level(std::span<const weighted_demand> routes, double room, double floor)
{
    std::vector<slope_change> changes;
    changes.reserve(2 * routes.size());
    double taken = 0;
    for (const weighted_demand& route : routes) {
        taken += floor * route.demand;
        changes.emplace_back(floor * route.demand / route.weight, route.weight);
        changes.emplace_back(route.demand / route.weight, -route.weight);
    }
    std::sort(changes.begin(), changes.end());
    double level = 0;
    double slope = 0;
    for (const auto& [next, change] : changes) {
        const double needed = slope * (next - level);
        if (slope > 0 && taken + needed >= room) {
            return level + std::max(room - taken, 0.0) / slope;
        }
        taken += needed;
        level = next;
        slope += change;
    }
    return level;
}

} // namespace

std::vector<double> fair_shares(std::span<const weighted_demand> routes, double room, double floor)
{
    double demand = 0;
    for (const weighted_demand& route : routes) {
        demand += route.demand;
    }
    if (demand <= room) {
        return std::vector<double>(routes.size(), room);
    }
    const double least_part = std::min(floor, room / demand);
    const double level = find_level(routes, room, least_part);
    std::vector<double> shares;
    shares.reserve(routes.size());
    for (const weighted_demand& route : routes) {
        shares.push_back(std::max(level * route.weight, least_part * route.demand));
    }
    return shares;
}

} // namespace carobfall
