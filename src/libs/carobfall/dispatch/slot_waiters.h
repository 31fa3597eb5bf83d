#pragma once

#include "carobfall/dispatch/job.h"

#include <cstdint>
#include <list>
#include <mutex>
#include <optional>

namespace carobfall {

/// Jobs that wait for a slot, in first-in, first-out order. Each slot that becomes free wakes one
/// job, because waking all of them would cost more than polling. Thread-safe.
class slot_waiters {
public:
    /// Appends the job unless it is already waiting. Requires a call of `leave` before the job
    /// ends.
    void enter(job& waiting);
    /// Removes the job. If it has not taken its wake-up, the next job gets the wake-up.
    void leave(const job& waiting);
    /// Takes the wake-up of the job and returns how often the wake-up has been passed on. Returns
    /// no value if the job has not been woken since the last call.
    std::optional<std::uint32_t> take_wake_up(const job& waiting);
    /// Wakes the jobs that have waited longest, one per slot.
    void signal(std::uint32_t slots);
    /// Passes a wake-up on to a job of another account, because the limits of this job's account
    /// don't allow it to use the slot. Does nothing if the wake-up has already been passed on
    /// several times; the waiting jobs then find the slot when they poll next.
    void pass_on(const job& from, std::uint32_t passed);

private:
    struct waiter {
        job* waiting;
        std::optional<std::uint32_t> woken{}; ///< how often its wake-up was passed on, if any
    };

    std::list<waiter>::iterator find_locked(const job& waiting);
    void signal_locked(std::uint32_t slots);
    void wake_locked(std::list<waiter>::iterator chosen, std::uint32_t passed);

    std::mutex mutex_;
    std::list<waiter> waiters_;
};

} // namespace carobfall
