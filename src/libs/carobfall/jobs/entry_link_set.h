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

/// The agent's links to all entries that it knows, by address.
class entry_link_set {
public:
    /// `handlers` are those of each link; `new_session` is set here.
    entry_link_set(const boost::asio::any_io_executor& executor, entry_link::hooks handlers);

    /// Connects to entries that were not known; the others are still in use.
    void learn(const std::vector<std::string>& addresses, absl::Time now);
    /// Ends the links to entries that have gone for good and returns their addresses.
    std::vector<std::string> forget_old(absl::Time now);

    void for_each_open(const std::function<void(entry_link&)>& visit) const;
    [[nodiscard]] std::vector<std::string> open_addresses() const;
    [[nodiscard]] std::size_t open_count() const;
    /// Null if the session is none of an open link.
    [[nodiscard]] entry_link* find(session_number session) const;

private:
    boost::asio::any_io_executor executor_;
    entry_link::hooks hooks_;
    entry_addresses addresses_;
    std::map<std::string, std::shared_ptr<entry_link>> links_; ///< by address
    session_number last_session_{0};
};

} // namespace carobfall
