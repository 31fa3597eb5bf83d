#include "carobfall/jobs/report_schedule.h"

namespace carobfall {
namespace {

// A report takes longer than this only if it was lost, because a run ends every 10 to 20 ms on a
// busy worker. With few runs a second request costs little.
constexpr absl::Duration usual_answer = absl::Milliseconds(40);
constexpr std::size_t max_outstanding = 3;

} // namespace

bool report_schedule::is_due(bool has_runs, absl::Time now) const
{
    if (outstanding_ == 0) {
        return true;
    }
    return has_runs && outstanding_ < max_outstanding && now - asked_at_ >= usual_answer;
}

absl::Duration report_schedule::interval()
{
    return usual_answer;
}

void report_schedule::on_asked(absl::Time now)
{
    ++outstanding_;
    asked_at_ = now;
}

void report_schedule::on_ended()
{
    --outstanding_;
}

bool report_schedule::take_over(absl::Time asked_at)
{
    if (asked_at < taken_over_) {
        return false;
    }
    taken_over_ = asked_at;
    return true;
}

} // namespace carobfall
