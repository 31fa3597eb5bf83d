#include "carobfall/jobs/entry_selection.h"

#include "carobfall/base/strings.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <functional>
#include <numeric>
#include <string>

namespace carobfall {
namespace {

bool is_in_contact(const entry_candidate& candidate, absl::Time now)
{
    return !candidate.last_contact || now - *candidate.last_contact < entry_contact_timeout;
}

} // namespace

std::uint64_t entry_rank(std::string_view agent, std::string_view entry_address)
{
    return std::hash<std::string>{}(absl::StrCat(to_absl(agent), "\n", to_absl(entry_address)));
}

std::vector<bool> select_entries(std::span<const entry_candidate> candidates, std::size_t max_links,
                                 absl::Time now)
{
    std::vector<std::size_t> order(candidates.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
        return candidates[left].rank < candidates[right].rank;
    });
    std::vector<bool> selected(candidates.size());
    std::size_t in_contact = 0;
    for (const std::size_t position : order) {
        if (in_contact == max_links) {
            break;
        }
        selected[position] = true;
        in_contact += is_in_contact(candidates[position], now) ? 1 : 0;
    }
    return selected;
}

} // namespace carobfall
