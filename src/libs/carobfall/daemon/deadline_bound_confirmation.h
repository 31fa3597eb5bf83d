#pragma once

#include "carobfall/base/clock.h"
#include "carobfall/entry/configuration_replica.h"
#include "carobfall/platform/configuration_store.h"

#include <string>

namespace carobfall {

/// Confirms in the region that deadline bounds of client accounts have been lowered, which ends the
/// earlier, longer bounds. Once a majority of the entries holds such a change, no entry accepts
/// submissions under the earlier bound for longer than its configuration counts as current, so that
/// the time at which the bound ends is committed. Only the first member of the view does this. Call
/// every few seconds: a call that fails changes nothing, and the next one tries again. Errors:
/// those of `configuration_replica::publish` and `configuration_store::apply`.
result<void> confirm_deadline_bounds(const ownership& owner, configuration_replica& replica,
                                     configuration_store& store, const std::string& region,
                                     const clock_function& clock);

} // namespace carobfall
