#include "carobfall/jobs/known_worker.h"

#include <algorithm>

namespace carobfall {

namespace {

absl::Time stated_end(const worker_announcement& worker, absl::Time received_at)
{
    return worker.state == worker_state::draining ? received_at + worker.drain_remaining
                                                  : absl::InfiniteFuture();
}

} // namespace

bool known_worker::is_current(const worker_announcement& worker) const
{
    if (worker.id == left_id_ && worker.started_unix_ms <= left_started_unix_ms_) {
        return false;
    }
    return !present_ || is_later(worker, *present_);
}

worker_change known_worker::adopt(const worker_announcement& worker, absl::Time received_at)
{
    if (!is_current(worker)) {
        return worker_change::none;
    }
    const bool same = present_ && is_same_incarnation(worker, *present_);
    if (!same) {
        if (present_ && present_->id == worker.id) {
            return worker_change::none;
        }
        present_ = worker;
        serves_until_ = stated_end(worker, received_at);
        return worker_change::replaced;
    }
    if (worker.state == worker_state::draining) {
        serves_until_ = stated_end(worker, received_at);
    }
    const bool drains =
        worker.state == worker_state::draining || present_->state == worker_state::draining;
    const std::int64_t sequence = std::max(worker.sequence, present_->sequence);
    present_ = worker;
    present_->sequence = sequence;
    if (drains) {
        present_->state = worker_state::draining;
    }
    return worker_change::updated;
}

void known_worker::begin_incarnation(std::int64_t started_unix_ms)
{
    present_->started_unix_ms = started_unix_ms;
    present_->sequence = -1; // less than that of any announcement
    present_->state = worker_state::unannounced;
    serves_until_ = absl::InfiniteFuture();
}

bool known_worker::remove(std::string_view id)
{
    if (!present_ || present_->id != id) {
        return false;
    }
    left_id_ = present_->id;
    left_started_unix_ms_ = present_->started_unix_ms;
    present_.reset();
    return true;
}

} // namespace carobfall
