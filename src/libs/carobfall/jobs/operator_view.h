#pragma once

#include "carobfall/base/log_fields.h"
#include "carobfall/fleet/fleet.pb.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace carobfall {

/// Identifies the operator state that a process holds. Frames between entries and agents carry it.
struct operator_state_stamp {
    std::uint64_t version{0}; ///< version of the store when the state was read
    std::uint64_t digest{0};  ///< of the content, which a later version may leave unchanged

    /// Adopts the value that a frame of the process carries, if it is later.
    void update(const operator_state_stamp& received)
    {
        if (received.version > version) {
            *this = received;
        }
    }
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

/// The operator state as this process holds it. Only a later version replaces it, whether it comes
/// from the store or from another process that can still reach the store.
class operator_view {
public:
    using listener = std::function<void()>;

    /// Returns false if `state` is no later than the state held, or has the same content.
    bool adopt(fleet::operator_state state);
    /// Adopts the later version of a peer that holds the same content.
    void confirm(const operator_state_stamp& peer);
    /// Whether a peer that holds `peer` needs the state held here. A later version with the same
    /// content is not sent: after a restart of many processes each reads the store at another
    /// version, and all of these would be sent to all processes.
    [[nodiscard]] bool is_update_for(const operator_state_stamp& peer) const;
    /// Returns the fields of the log line on the state that was adopted last.
    [[nodiscard]] log_fields adopted_from(std::string_view source) const;
    /// Gauges, one per line.
    [[nodiscard]] std::string state_text() const;
    void on_change(listener changed) { listeners_.push_back(std::move(changed)); }

    [[nodiscard]] const fleet::operator_state& state() const { return state_; }
    [[nodiscard]] std::uint64_t version() const { return state_.version(); }
    [[nodiscard]] operator_state_stamp stamp() const { return {state_.version(), digest_}; }
    [[nodiscard]] bool has_configuration() const { return state_.configuration_version() > 0; }
    [[nodiscard]] bool is_out(std::string_view data_centre) const;
    /// Returns the route with the longest prefix of `path`, or null if there is none.
    [[nodiscard]] const fleet::route* find_route(std::string_view host,
                                                 std::string_view path) const;

private:
    void index_routes();

    fleet::operator_state state_;
    std::uint64_t digest_{0};
    // Positions in `state_.routes()`, longest prefix first.
    absl::flat_hash_map<std::string, std::vector<int>> routes_by_host_;
    std::vector<listener> listeners_;
};

} // namespace carobfall
