#pragma once

#include "carobfall/rpc/carobfall.pb.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace carobfall {

/// Log of configuration changes: the latest change of each existing declaration, and the most
/// recent changes, which bring other entries up to `version()`. Not thread-safe.
class configuration_log {
public:
    [[nodiscard]] std::uint64_t version() const { return version_; }
    /// Returns the part of `push` that can be applied here: the changes after `version()` without a
    /// gap, or the whole snapshot. Empty if nothing can be applied.
    [[nodiscard]] rpc::push_configuration_request
    applicable_changes(const rpc::push_configuration_request& push) const;
    /// Appends the result of `applicable_changes`.
    void append(const rpc::push_configuration_request& applicable);
    /// Returns the update for an entry that holds `version`: the changes since then, or a snapshot
    /// if they are no longer held.
    [[nodiscard]] rpc::push_configuration_request since(std::uint64_t version) const;

private:
    std::uint64_t version_{0};
    std::map<std::string, rpc::configuration_change> latest_; ///< by key, without deleted ones
    std::deque<rpc::configuration_change> recent_;            ///< in order of consecutive versions
};

} // namespace carobfall
