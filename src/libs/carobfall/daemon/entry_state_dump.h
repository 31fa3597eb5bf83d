#pragma once

#include "carobfall/dispatch/coordinator.h"
#include "carobfall/entry/claim_store.h"
#include "carobfall/entry/configuration_replica.h"
#include "carobfall/entry/membership.h"
#include "carobfall/operators/state_dump.h"

namespace carobfall {

/// Adds the sections of an entry to `dump`. The other arguments must outlive all uses of `dump`.
void add_entry_sections(state_dump& dump, const membership& members, const claim_store& claims,
                        const configuration_replica& replica, const agent_registry& agents,
                        const coordinator& submissions, const std::string& region,
                        const clock_function& clock);

} // namespace carobfall
