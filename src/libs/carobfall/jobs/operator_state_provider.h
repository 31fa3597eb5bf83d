#pragma once

#include "carobfall/fleet/fleet.pb.h"
#include "carobfall/jobs/operator_state_fetcher.h"
#include "carobfall/jobs/operator_view.h"

#include <absl/time/time.h>

#include <map>

namespace carobfall {

/// Answers requests of peers for parts of the operator state. It serves few peers at a time, so
/// that neither the link of a small machine nor the orders on it wait for copies of a large state.
class operator_state_provider {
public:
    explicit operator_state_provider(const operator_view& view);

    [[nodiscard]] fleet::state_part answer(peer_number peer, const fleet::state_request& request,
                                           absl::Time now);
    void on_peer_lost(peer_number peer) { receivers_.erase(peer); }

private:
    [[nodiscard]] bool admit(peer_number peer, absl::Time now);

    const operator_view& view_;
    std::map<peer_number, absl::Time> receivers_; ///< time of the latest request
};

} // namespace carobfall
