#pragma once

#include "carobfall/base/histogram.h"
#include "carobfall/base/log_fields.h"
#include "carobfall/jobs/admission_shares.h"

#include <span>
#include <string>

namespace carobfall {

/// Adds the shares by which a job was refused to its log line: the route that is furthest above its
/// share, if there is one, and what the routes with the greatest demand were admitted, are entitled
/// to and demanded, in thousandths of a core. Adds nothing without shares.
void add_shares(log_fields& fields, std::span<const route_share> routes);

/// Counts the room that a job demands and, if it is admitted, takes, by route. The names of routes
/// come from the configuration, which bounds the number of counters.
void count_admission(metrics_registry& metrics, const std::string& route, double room,
                     bool admitted);

} // namespace carobfall
