#include "carobfall/dispatch/slot_waiters.h"

#include <algorithm>
#include <utility>

namespace carobfall {
namespace {

constexpr std::uint32_t max_wake_up_passes = 4;

} // namespace

void slot_waiters::enter(job& waiting)
{
    const std::lock_guard lock(mutex_);
    if (find_locked(waiting) == waiters_.end()) {
        waiters_.push_back({&waiting});
    }
}

void slot_waiters::leave(const job& waiting)
{
    const std::lock_guard lock(mutex_);
    const auto found = find_locked(waiting);
    if (found == waiters_.end()) {
        return;
    }
    const bool woken = found->woken.has_value();
    waiters_.erase(found);
    signal_locked(woken ? 1 : 0);
}

std::optional<std::uint32_t> slot_waiters::take_wake_up(const job& waiting)
{
    const std::lock_guard lock(mutex_);
    const auto found = find_locked(waiting);
    return found == waiters_.end() ? std::nullopt : std::exchange(found->woken, std::nullopt);
}

void slot_waiters::pass_on(const job& from, std::uint32_t passed)
{
    if (passed >= max_wake_up_passes) {
        return;
    }
    const std::lock_guard lock(mutex_);
    const auto other = std::find_if(waiters_.begin(), waiters_.end(), [&](const waiter& item) {
        return item.waiting->key().client_account != from.key().client_account;
    });
    if (other != waiters_.end()) {
        wake_locked(other, passed + 1);
    }
}

void slot_waiters::signal(std::uint32_t slots)
{
    const std::lock_guard lock(mutex_);
    signal_locked(slots);
}

void slot_waiters::signal_locked(std::uint32_t slots)
{
    for (std::size_t left = std::min<std::size_t>(slots, waiters_.size()); left > 0; --left) {
        wake_locked(waiters_.begin(), 0);
    }
}

void slot_waiters::wake_locked(std::list<waiter>::iterator chosen, std::uint32_t passed)
{
    chosen->woken = passed;
    chosen->waiting->wake();
    waiters_.splice(waiters_.end(), waiters_, chosen);
}

std::list<slot_waiters::waiter>::iterator slot_waiters::find_locked(const job& waiting)
{
    return std::find_if(waiters_.begin(), waiters_.end(),
                        [&](const waiter& item) { return item.waiting == &waiting; });
}

} // namespace carobfall
