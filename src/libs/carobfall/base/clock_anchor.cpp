#include "carobfall/base/clock_anchor.h"

namespace carobfall {
namespace {

constexpr int attempts = 5;

} // namespace

clock_anchor read_clock_anchor(const std::function<absl::Time()>& wall,
                               const std::function<std::chrono::steady_clock::time_point()>& steady)
{
    clock_anchor best;
    auto least = std::chrono::steady_clock::duration::max();
    for (int i = 0; i < attempts; ++i) {
        const auto before = steady();
        const absl::Time read = wall();
        const auto gap = steady() - before;
        if (gap < least) {
            least = gap;
            best = {read, before};
        }
    }
    return best;
}

} // namespace carobfall
