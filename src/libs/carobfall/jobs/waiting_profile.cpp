#include "carobfall/jobs/waiting_profile.h"

#include <algorithm>
#include <numeric>

namespace carobfall {
namespace {

// Upper bounds of the rank classes; the last class has none. The classes are narrow at the ranks of
// short jobs, where a few runs make a difference.
constexpr std::array upper_ends_ms = {40, 80, 120, 180, 260, 400, 600, 900, 1400};

} // namespace

std::size_t waiting_profile::class_of(absl::Duration rank)
{
    static_assert(upper_ends_ms.size() + 1 == class_count);
    const auto end =
        std::find_if(upper_ends_ms.begin(), upper_ends_ms.end(),
                     [rank](int milliseconds) { return rank <= absl::Milliseconds(milliseconds); });
    return static_cast<std::size_t>(end - upper_ends_ms.begin());
}

waiting_profile waiting_profile::from_classes(const std::vector<std::int64_t>& classes)
{
    waiting_profile profile;
    for (std::size_t i = 0; i < classes.size(); ++i) {
        profile.millicores_[std::min(i, class_count - 1)] += classes[i];
    }
    return profile;
}

void waiting_profile::add(absl::Duration rank, std::int64_t millicores)
{
    millicores_[class_of(rank)] += millicores;
}

std::int64_t waiting_profile::millicores_before(absl::Duration rank) const
{
    const auto end = millicores_.begin() + static_cast<std::ptrdiff_t>(class_of(rank)) + 1;
    return std::accumulate(millicores_.begin(), end, std::int64_t{0});
}

std::vector<std::int64_t> waiting_profile::classes() const
{
    const auto last = std::find_if(millicores_.rbegin(), millicores_.rend(),
                                   [](std::int64_t millicores) { return millicores > 0; });
    return {millicores_.begin(), last.base()};
}

} // namespace carobfall
