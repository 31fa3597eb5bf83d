#pragma once

#include "carobfall/dispatch/job.h"

#include <cstdint>
#include <list>
#include <mutex>
#include <optional>

namespace carobfall {

/// Jobs that wait for a slot, in the order of their waiting. Each slot that becomes free wakes one
/// job: waking all of them would cost more than polling. Thread-safe.
class slot_waiters {
public:
    /// Appends the job unless it waits already. It has to call `leave` before it ends.
    void enter(job& waiting);
    /// A wake-up that the job has not taken goes to the next one.
    void leave(const job& waiting);
    /// Whether the job was woken since the last call, and if so, how many jobs had passed that on.
    std::optional<std::uint32_t> take_wake_up(const job& waiting);
    /// Wakes the jobs that have waited longest, one for each slot.
    void signal(std::uint32_t slots);
    /// The account of the job may not use the slot: wakes a job of another account, unless the
    /// wake-up has been passed on often. Then the jobs find the slot at their next look.
    void pass_on(const job& from, std::uint32_t passed);

private:
    struct waiter {
        job* waiting;
        std::optional<std::uint32_t> woken{}; ///< how often the wake-up has been passed on
    };

    std::list<waiter>::iterator find_locked(const job& waiting);
    void signal_locked(std::uint32_t slots);
    void wake_locked(std::list<waiter>::iterator chosen, std::uint32_t passed);

    std::mutex mutex_;
    std::list<waiter> waiters_;
};

} // namespace carobfall
