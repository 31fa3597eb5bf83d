#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace carobfall {

/// Number of entries that an agent is linked to if it knows more.
inline constexpr std::size_t max_entry_links = 12;
/// An entry that has sent nothing for this long is replaced by the next one in the agent's order.
/// A restarted entry is back earlier.
inline constexpr absl::Duration entry_contact_timeout = absl::Seconds(1);

/// An entry that the agent knows.
struct entry_candidate {
    std::uint64_t rank{0}; ///< from `entry_rank`
    /// When the linked entry last sent a frame, or when the link was created. No value: not linked.
    std::optional<absl::Time> last_contact;
};

/// Returns the position of the entry in the order in which the agent prefers entries. The order
/// differs from agent to agent (rendezvous hashing). Therefore every entry gets about the same
/// number of agents, in all data centres, and an entry that is added or removed changes few links.
[[nodiscard]] std::uint64_t entry_rank(std::string_view agent, std::string_view entry_address);

/// Returns for each candidate whether the agent should be linked to it: the first `max_links` in
/// ascending order of rank, and one more for each of them that is out of contact. An entry that is
/// out of contact stays selected, so that the agent returns to it.
///
/// Load pattern: hundreds of agents and dozens of entries. With a link between each pair, the
/// frames that keep links alive take more processor time at every entry than its jobs do.
[[nodiscard]] std::vector<bool> select_entries(std::span<const entry_candidate> candidates,
                                               std::size_t max_links, absl::Time now);

} // namespace carobfall
