#include "carobfall/jobs/past_runs.h"

#include <algorithm>

namespace carobfall {
namespace {

// Exceeds the time that an unanswered order can be under way, so that run numbers always increase.
constexpr absl::Duration retention = absl::Seconds(30);

} // namespace

void past_runs::record(const task_run& run, absl::Time now)
{
    past_run& past = runs_[{run.job_id, run.index}];
    past.highest = std::max(past.highest, run.run);
    past.seen_at = std::max(past.seen_at, now);
}

void past_runs::expire(absl::Time now)
{
    std::erase_if(runs_, [now](const auto& past) { return past.second.seen_at < now - retention; });
}

std::uint32_t past_runs::highest(const std::string& job_id, std::uint32_t index) const
{
    const auto found = runs_.find({job_id, index});
    return found == runs_.end() ? 0 : found->second.highest;
}

} // namespace carobfall
