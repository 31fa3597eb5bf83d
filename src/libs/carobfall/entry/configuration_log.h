#pragma once

#include "carobfall/rpc/carobfall.pb.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace carobfall {

/// The declarations in force with the latest change of each, and the most recent changes, from
/// which another entry can be brought to this version. Not thread-safe.
class configuration_log {
public:
    [[nodiscard]] std::uint64_t version() const { return version_; }
    /// Part of `push` that is new here: changes after `version()` without a gap, or the whole
    /// snapshot. Without changes if nothing in it can be applied.
    [[nodiscard]] rpc::push_configuration_request
    news(const rpc::push_configuration_request& push) const;
    /// Takes up what `news` returned.
    void append(const rpc::push_configuration_request& news);
    /// What an entry needs that holds `version`: the changes since, or a snapshot if the changes
    /// are not held any more.
    [[nodiscard]] rpc::push_configuration_request since(std::uint64_t version) const;

private:
    std::uint64_t version_{0};
    std::map<std::string, rpc::configuration_change> latest_; ///< by key, without deleted ones
    std::deque<rpc::configuration_change> recent_;            ///< ascending, without gaps
};

} // namespace carobfall
