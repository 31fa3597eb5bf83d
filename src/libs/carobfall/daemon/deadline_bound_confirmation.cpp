#include "carobfall/daemon/deadline_bound_confirmation.h"

#include "carobfall/base/ids.h"
#include "carobfall/config/configuration_builder.h"
#include "carobfall/entry/rendezvous.h"

namespace carobfall {

result<void> confirm_deadline_bounds(const ownership& owner, configuration_replica& replica,
                                     configuration_store& store, const std::string& region,
                                     const clock_function& clock)
{
    const ownership_snapshot snapshot = owner.snapshot();
    const configuration_ptr configuration = replica.current();
    if (!snapshot.usable() || !same_incarnation(snapshot.view.members(0), owner.self())) {
        return success();
    }
    configuration_change_set request{{}, random_id(), configuration->version};
    std::vector<std::pair<std::string, deadline_bound>> unconfirmed;
    for (const auto& [account, bound] : configuration->deadline_bounds) {
        if (bound.is_unconfirmed(region) && unconfirmed.size() < max_changes_at_once) {
            unconfirmed.emplace_back(account, bound);
        }
    }
    if (unconfirmed.empty()) {
        return success();
    }
    // Does not wait: unless a majority already holds the version, the next call tries again.
    BOOST_OUTCOME_TRY(replica.publish(configuration->version, absl::ZeroDuration()));
    const absl::Time now = clock();
    for (const auto& [account, bound] : unconfirmed) {
        request.changes.push_back(bound_change(account, confirmed_bound(bound, region, now)));
    }
    BOOST_OUTCOME_TRYV(store.apply(request));
    return success();
}

} // namespace carobfall
