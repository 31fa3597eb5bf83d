#pragma once

#include <span>
#include <vector>

namespace carobfall {

/// What a route asks for, in the unit of the room that is divided.
struct weighted_demand {
    double demand{0}; ///< at least 0
    double weight{1}; ///< above 0
};

/// Divides `room` by weighted max-min fairness and returns what each route is entitled to: its
/// weight times a level that is the same for all. The level is the highest at which the routes take
/// no more than the room, where none takes more than its demand. A route with more demand than its
/// entitlement takes the entitlement; the part that others don't use raises the level.
///
/// `floor`: each route is entitled to at least this part of its demand or, if there isn't enough
/// room for that, to the same part of its demand as every other route.
///
/// Without a shortage of room, each route is entitled to the whole room.
[[nodiscard]] std::vector<double> fair_shares(std::span<const weighted_demand> routes, double room,
                                              double floor);

} // namespace carobfall
