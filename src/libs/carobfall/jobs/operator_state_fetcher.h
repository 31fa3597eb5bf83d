#pragma once

#include "carobfall/fleet/fleet.pb.h"
#include "carobfall/jobs/operator_view.h"

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace carobfall {

/// Number of a connection to a peer, at least 1 and never used again in this process.
using peer_number = std::uint64_t;

/// A request that is to be sent to a peer.
struct state_fetch {
    peer_number peer{0};
    fleet::state_request request;
};

enum class state_part_outcome {
    unexpected, ///< from a peer that was not asked or has been replaced
    stored,
    adopted,  ///< the last part; the operator view has adopted the state
    refused,  ///< the peer serves too many others
    outdated, ///< the peer holds nothing later than this process
    malformed,
};

[[nodiscard]] std::string_view name_of(state_part_outcome outcome);

/// Decides when to request the operator state from a peer, and from which one, and assembles it.
/// It requests one part at a time from one peer at a time; another peer with the same state may
/// continue.
///
/// Load pattern: dozens of entries, thousands of agents and a state of hundreds of kilobytes. A
/// copy from each peer would occupy the link of a small entry for seconds.
class operator_state_fetcher {
public:
    /// Returns a position below the argument, which is at least 1.
    using position_source = std::function<std::size_t(std::size_t)>;

    /// `choose`: selects one of several peers that hold the same state.
    operator_state_fetcher(operator_view& view, position_source choose);

    /// Handles the stamp in a frame of the peer.
    void on_stamp(peer_number peer, const operator_state_stamp& stamp, absl::Time now);
    void on_peer_lost(peer_number peer);
    /// Returns the next request, or no value if none is due.
    [[nodiscard]] std::optional<state_fetch> next_request(absl::Time now);
    state_part_outcome on_part(peer_number peer, const fleet::state_part& part, absl::Time now);

private:
    [[nodiscard]] peer_number select_source() const;
    /// Continues with the state that has this digest.
    void select_state(std::uint64_t digest);
    /// Appends the part to `content_`, and adopts the state after its last part.
    [[nodiscard]] state_part_outcome append(const fleet::state_part& part, absl::Time now);

    operator_view& view_;
    const position_source choose_;
    std::map<peer_number, operator_state_stamp> sources_; ///< peers that hold a later state
    peer_number asked_peer_{0};
    absl::Time asked_at_;
    bool awaits_part_{false};
    absl::Time next_request_at_{absl::InfinitePast()};
    std::uint64_t digest_{0}; ///< of the state that `content_` is the beginning of
    std::string content_;
};

/// Counts a part that was sent to a peer of the kind `peer`, or received from one.
void count_sent_part(const fleet::state_part& part, std::string_view peer,
                     metrics_registry& metrics);
void count_received_part(const fleet::state_part& part, state_part_outcome outcome,
                         std::string_view peer, metrics_registry& metrics);

/// Selects positions at random.
[[nodiscard]] operator_state_fetcher::position_source random_position();

} // namespace carobfall
