#pragma once

#include "carobfall/jobs/entry_addresses.h"
#include "carobfall/jobs/entry_link.h"

#include <absl/time/time.h>
#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace carobfall {

/// The links of the agent to all known entries, by address.
class entry_link_set {
public:
    /// `handlers`: handlers of each link. Their `new_session` is replaced by this class.
    entry_link_set(const boost::asio::any_io_executor& executor, entry_link::hooks handlers);

    /// Connects to entries that are not known yet, and records that all `addresses` are in use.
    void add(const std::vector<std::string>& addresses, absl::Time now);
    /// Ends the links to entries whose addresses have expired, and returns the addresses.
    std::vector<std::string> remove_expired(absl::Time now);

    void for_each_open(const std::function<void(entry_link&)>& visit) const;
    [[nodiscard]] std::vector<std::string> open_addresses() const;
    [[nodiscard]] std::size_t open_count() const;
    /// Returns the open link of the session, or null if there is none.
    [[nodiscard]] entry_link* find(session_number session) const;

private:
    boost::asio::any_io_executor executor_;
    entry_link::hooks hooks_;
    entry_addresses addresses_;
    std::map<std::string, std::shared_ptr<entry_link>> links_; ///< by address
    session_number last_session_{0};
};

} // namespace carobfall
