#include "carobfall/jobs/job_admission.h"

#include <array>
#include <cstddef>

namespace carobfall {
namespace {

// Retry-After if there are too few agents. Agents connect within this time after a restart of the
// entry.
constexpr absl::Duration retry_without_agents = absl::Seconds(1);

} // namespace

std::string_view name_of(admission_reason reason)
{
    constexpr std::array<std::string_view, 4> names = {"starts_at_once", "wait_acceptable",
                                                       "no_worker", "overloaded"};
    return names.at(static_cast<std::size_t>(reason));
}

job_admission decide_admission(const job_request& request, const job_timing& timing,
                               absl::Duration expected_run, const job_placement& placement,
                               absl::Time last_immediate_start, const admission_shares& shares,
                               absl::Time now, const std::function<double()>& random)
{
    if (placement.agents.size() < request.task_count) {
        return {{false, retry_without_agents}, admission_reason::no_worker, absl::ZeroDuration()};
    }
    const absl::Duration wait = placement.longest_wait;
    const bool immediate = wait <= absl::ZeroDuration();
    job_admission result;
    result.queued_for = immediate ? absl::ZeroDuration() : now - last_immediate_start;
    result.decision =
        shares.evaluate(request, timing, {expected_run, wait, result.queued_for}, now, random());
    if (!result.decision.admitted) {
        result.reason = admission_reason::overloaded;
    } else if (!immediate) {
        result.reason = admission_reason::wait_acceptable;
    }
    return result;
}

} // namespace carobfall
