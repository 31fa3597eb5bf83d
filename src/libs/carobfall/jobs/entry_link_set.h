#pragma once

#include "carobfall/jobs/entry_addresses.h"
#include "carobfall/jobs/entry_link.h"

#include <absl/time/time.h>
#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace carobfall {

/// The entries that the agent knows, and its links to those that it has selected.
class entry_link_set {
public:
    /// Returns whether the agent holds tasks of the session.
    using task_check = std::function<bool(session_number)>;

    /// `handlers`: handlers of each link. Their `new_session` is replaced by this class.
    entry_link_set(const boost::asio::any_io_executor& executor, std::string agent,
                   entry_link::hooks handlers);

    /// Records that the addresses are in use, and links the agent to those that are selected.
    void add(const std::vector<std::string>& addresses, absl::Time now);
    /// Ends the links to entries whose addresses have expired, and returns the addresses.
    std::vector<std::string> remove_expired(absl::Time now);
    /// Creates the links to entries that are selected now, and ends those to entries that no longer
    /// are. An open link takes no orders for a while and has to be idle before it ends, so that no
    /// task is lost.
    void update_selection(absl::Time now, const task_check& has_tasks);

    void for_each_open(const std::function<void(entry_link&)>& visit) const;
    [[nodiscard]] std::vector<std::string> open_addresses() const;
    [[nodiscard]] std::size_t open_count() const;
    /// Returns the open link of the session, or null if there is none.
    [[nodiscard]] entry_link* find(session_number session) const;

private:
    struct known_entry {
        std::uint64_t rank{0};
        std::shared_ptr<entry_link> link; ///< null while the agent is not linked to the entry
        absl::Time deselected_at{absl::InfiniteFuture()}; ///< infinite while it is selected
        /// Since when a link that takes no orders has had no tasks.
        absl::Time idle_since{absl::InfiniteFuture()};
    };

    [[nodiscard]] std::vector<bool> select(absl::Time now) const;
    void ensure_linked(const std::string& address, known_entry& entry, absl::Time now);
    /// Takes the next step towards the end of a link that is not selected.
    void retire(known_entry& entry, absl::Time now, const task_check& has_tasks);

    boost::asio::any_io_executor executor_;
    const std::string agent_;
    entry_link::hooks hooks_;
    entry_addresses addresses_;
    std::map<std::string, known_entry> entries_; ///< by address
    session_number last_session_{0};
};

} // namespace carobfall
