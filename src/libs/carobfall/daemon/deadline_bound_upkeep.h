#pragma once

#include "carobfall/base/clock.h"
#include "carobfall/entry/configuration_replica.h"
#include "carobfall/platform/configuration_store.h"

#include <string>

namespace carobfall {

/// Lets the earlier, longer deadline bounds of client accounts end in the region: once a majority
/// of the entries holds the change that lowered them, no entry accepts submissions under them after
/// the freshness of its configuration, and the time of their end is committed. The first member of
/// the view does so. Call every few seconds; a call that fails changes nothing and the next one
/// tries again. Errors: those of `configuration_replica::publish` and `configuration_store::apply`.
result<void> confirm_deadline_bounds(const ownership& owner, configuration_replica& replica,
                                     configuration_store& store, const std::string& region,
                                     const clock_function& clock);

} // namespace carobfall
