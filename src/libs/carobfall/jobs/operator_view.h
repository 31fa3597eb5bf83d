#pragma once

#include "carobfall/base/event_log.h"
#include "carobfall/base/histogram.h"
#include "carobfall/fleet/fleet.pb.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace carobfall {

/// Identifies the operator state that a process holds. Frames between entries and agents carry it.
struct operator_state_stamp {
    std::uint64_t version{0}; ///< version of the store when the state was read
    std::uint64_t digest{0};  ///< of the content; a later version may have the same content
};

template <typename Frame>
operator_state_stamp stamp_of(const Frame& frame)
{
    return {frame.operator_version(), frame.operator_digest()};
}

template <typename Frame>
void set_operator_state_stamp(Frame& frame, const operator_state_stamp& stamp)
{
    frame.set_operator_version(stamp.version);
    frame.set_operator_digest(stamp.digest);
}

/// The copy of the operator state in this process. Only a later version replaces it. Versions come
/// from the store or from other processes that can still reach the store.
class operator_view {
public:
    using listener = std::function<void()>;

    /// Adopts a later state. Returns false if `state` is not later or has the same content.
    bool adopt(fleet::operator_state state, absl::Time now);
    /// Adopts the state of a peer with this stamp, from its `content`. Returns false also if the
    /// content is damaged.
    bool adopt_content(const std::string& content, const operator_state_stamp& stamp,
                       absl::Time now);
    /// Adopts the version of a peer if it is later and the peer holds the same content.
    void confirm(const operator_state_stamp& peer);
    /// Whether this process needs the state of a peer with the stamp `peer`. A later version with
    /// the same content is not needed: after a restart of many processes each reads another version
    /// of the store, and every process would request the versions of all others.
    [[nodiscard]] bool needs(const operator_state_stamp& peer) const;
    /// Records that a peer holds the state `peer`: from then on this process counts as behind until
    /// it holds that version.
    void observe(const operator_state_stamp& peer, absl::Time now);
    /// For how long this process has known of a later state with other content, 0 if it knows none.
    [[nodiscard]] absl::Duration behind_for(absl::Time now) const;
    /// Writes the log line and records the metrics of the last adopted state, received from
    /// `source`.
    void record_adoption(std::string_view source, event_log& log, metrics_registry& metrics,
                         absl::Time now) const;
    /// Returns the gauges of the operator state as text, one per line.
    [[nodiscard]] std::string state_text(absl::Time now) const;
    void on_change(listener changed) { listeners_.push_back(std::move(changed)); }

    [[nodiscard]] const fleet::operator_state& state() const { return state_; }
    /// The state in serialized form, without the version.
    [[nodiscard]] const std::string& content() const { return content_; }
    [[nodiscard]] std::uint64_t version() const { return state_.version(); }
    [[nodiscard]] operator_state_stamp stamp() const { return {state_.version(), digest_}; }
    [[nodiscard]] bool has_configuration() const { return state_.configuration_version() > 0; }
    [[nodiscard]] bool is_out(std::string_view data_centre) const;
    /// Returns the route of `host` with the longest prefix that matches `path`, or null.
    [[nodiscard]] const fleet::route* find_route(std::string_view host,
                                                 std::string_view path) const;

private:
    bool replace(fleet::operator_state state, std::string content, std::uint64_t digest,
                 absl::Time now);
    void index_routes();
    /// Ends the time for which this process is behind once it holds the latest known version.
    void update_behind();

    fleet::operator_state state_;
    std::string content_;
    std::uint64_t digest_{0};
    std::uint64_t latest_known_{0};                   ///< latest version that a peer has told
    absl::Time behind_since_{absl::InfiniteFuture()}; ///< infinite: not behind
    absl::Duration adopted_after_; ///< for how long it was behind at the last adoption
    // Positions in `state_.routes()`, longest prefix first.
    absl::flat_hash_map<std::string, std::vector<int>> routes_by_host_;
    std::vector<listener> listeners_;
};

} // namespace carobfall
