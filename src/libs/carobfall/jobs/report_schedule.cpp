#include "carobfall/jobs/report_schedule.h"

#include "carobfall/jobs/run_bounds.h"

namespace carobfall {
namespace {

// A report that takes longer is requested again. On a busy worker a run ends every 10 to 20 ms, so
// that the report was lost. With few runs a second request costs little.
constexpr absl::Duration expected_answer_time = absl::Milliseconds(40);
constexpr std::size_t max_outstanding = 3;

} // namespace

bool report_schedule::is_due(bool has_runs, absl::Time doubted_since, absl::Time now) const
{
    if (outstanding_ == 0) {
        return true;
    }
    if (doubted_since != absl::InfinitePast()) {
        // The worker may delay the answers to the outstanding reports.
        return outstanding_ <= max_outstanding &&
               (doubted_since > requested_at_ || now - requested_at_ >= renewal_retry_delay);
    }
    return has_runs && outstanding_ < max_outstanding &&
           now - requested_at_ >= expected_answer_time;
}

absl::Duration report_schedule::interval()
{
    return expected_answer_time;
}

void report_schedule::on_requested(absl::Time now)
{
    ++outstanding_;
    requested_at_ = now;
}

void report_schedule::on_ended()
{
    --outstanding_;
}

bool report_schedule::accept(absl::Time requested_at)
{
    if (requested_at < last_accepted_) {
        return false;
    }
    last_accepted_ = requested_at;
    return true;
}

} // namespace carobfall
