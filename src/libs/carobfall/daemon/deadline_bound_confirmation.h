#pragma once

#include "carobfall/base/clock.h"
#include "carobfall/entry/configuration_replica.h"
#include "carobfall/platform/configuration_store.h"

#include <string>

namespace carobfall {

/// Ends the earlier, longer deadline bounds of client accounts after a bound was lowered. Once a
/// majority of the entries in the region holds the lowered bound, an entry without it accepts
/// submissions only until its configuration is no longer current. The time at which the earlier
/// bound ends is then committed to the store. Only the first member of the view does this. Call
/// every few seconds: a failed call changes nothing and the next call tries again. Errors: those of
/// `configuration_replica::publish` and `configuration_store::apply`.
result<void> confirm_deadline_bounds(const ownership& owner, configuration_replica& replica,
                                     configuration_store& store, const std::string& region,
                                     const clock_function& clock);

} // namespace carobfall
