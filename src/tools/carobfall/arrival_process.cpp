#include "arrival_process.h"

#include <cmath>

namespace carobfall::tool {

double uniform_random(std::mt19937_64& random)
{
    constexpr unsigned mantissa_bits = 53;
    return std::ldexp(static_cast<double>(random() >> (64U - mantissa_bits)),
                      -static_cast<int>(mantissa_bits));
}

arrival_process::arrival_process(const arrival_settings& settings, std::uint64_t seed)
    : settings_(settings),
      random_(seed),
      next_single_(interarrival_time()),
      next_burst_(settings.burst_size > 0 ? settings.burst_every : absl::InfiniteDuration()),
      left_in_burst_(settings.burst_size)
{}

absl::Duration arrival_process::interarrival_time()
{
    if (settings_.per_second <= 0) {
        return absl::InfiniteDuration();
    }
    return absl::Seconds(-std::log1p(-uniform_random(random_)) / settings_.per_second);
}

absl::Duration arrival_process::next()
{
    if (next_single_ <= next_burst_) {
        const absl::Duration at = next_single_;
        next_single_ += interarrival_time();
        return at;
    }
    const absl::Duration at = next_burst_;
    if (--left_in_burst_ == 0) {
        left_in_burst_ = settings_.burst_size;
        next_burst_ += settings_.burst_every;
    }
    return at;
}

} // namespace carobfall::tool
