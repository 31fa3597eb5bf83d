#include "carobfall/jobs/worker_contact.h"

#include <algorithm>

namespace carobfall {
namespace {

// A worker answers within some milliseconds. A worker that leaves nearly half of its calls
// unanswered rarely leaves three in a row, which take this long.
constexpr absl::Duration silence_limit = absl::Milliseconds(60);

} // namespace

void worker_contact::on_unanswered(absl::Time requested_at, absl::Time now)
{
    const bool doubted_before = is_doubted();
    unanswered_ = std::max(unanswered_, requested_at);
    if (is_doubted() && !doubted_before) {
        doubted_since_ = now;
    }
}

bool worker_contact::on_answered(absl::Time requested_at)
{
    answered_ = std::max(answered_, requested_at);
    if (reachable_ || is_doubted()) {
        return false;
    }
    reachable_ = true;
    return true;
}

bool worker_contact::mark_unreachable(absl::Time now)
{
    if (!reachable_) {
        return false;
    }
    reachable_ = false;
    interruptions_.record(now);
    return true;
}

void worker_contact::on_replaced(bool interrupted, absl::Time now)
{
    // An interruption that made the worker unreachable is recorded already.
    if (interrupted && reachable_) {
        interruptions_.record(now);
    }
    unanswered_ = absl::InfinitePast();
    answered_ = now;
    reachable_ = true;
}

bool worker_contact::is_silent(absl::Time now) const
{
    return is_doubted() && now - doubted_since_ >= silence_limit;
}

} // namespace carobfall
